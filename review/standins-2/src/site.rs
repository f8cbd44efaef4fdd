//! A small deployment: caches, two parents, the origin and the feed of one site.

use crate::feed::Feed;
use crate::members::{Member, Members};
use crate::platform::{Setup, free_address};
use crate::record::Record;
use crate::settings::{Figures, settings};
use crate::world::Role;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

/// One site.
pub struct Site {
    pub members: Arc<Members>,
    /// The caches first, then the parents and the origin.
    pub list: Vec<Member>,
    pub feed: Arc<Feed>,
    pub feed_address: SocketAddr,
}

impl Site {
    /// Starts the members, whose names begin with `prefix`, and the feed.
    pub fn start(prefix: &str, caches: usize, record: &Record) -> std::io::Result<Site> {
        let members = Members::new(record, &["booking"], &[("small", 12_000.0)]);
        let mut list = members.start_many(&format!("{prefix}-c"), caches, "edge-1", "box-a", 40.0)?;
        list.push(members.start(&format!("{prefix}-p1"), Role::Parent, "west", "parent", 80.0)?);
        list.push(members.start(&format!("{prefix}-p2"), Role::Parent, "east", "parent", 80.0)?);
        list.push(members.start(&format!("{prefix}-o1"), Role::Origin, "west", "origin", 1.0)?);
        let (feed, feed_address) = Feed::start(&list, record)?;
        Ok(Site { members, list, feed, feed_address })
    }

    /// What a gateway of the site is started with.
    pub fn setup(
        &self,
        root: &Path,
        folder: &Path,
        name: &str,
        figures: &Figures,
        operator: Option<String>,
    ) -> std::io::Result<Setup> {
        Ok(Setup {
            root: root.to_path_buf(),
            folder: folder.to_path_buf(),
            name: name.into(),
            listen: free_address()?,
            feed: self.feed_address,
            settings: settings(figures, 0, 1),
            known: self.feed.known(),
            memory_mb: 192,
            sockets: 1024,
            operator,
        })
    }
}
