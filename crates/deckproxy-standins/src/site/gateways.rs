//! The gateways of a site: their configuration and how they are started.

use super::Site;
use crate::gateway::{Gateway, Program};
use crate::gateway_setup::settings;
use crate::wait::{next_number, until};
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};

impl Site {
    /// The configuration of one of its gateways, as `GW_CONFIG` has it.
    pub fn config(&self, name: &str, listen: SocketAddr) -> Value {
        let mut settings = settings();
        settings["familyInfo"]["flowKbPerS"] = json!(20_000.0);
        settings["familyInfo"]["obeyAfterMs"] = json!(1000.0);
        json!({"name": name, "listen": listen.to_string(), "seed": format!("{:016x}", next_number() * 0x9e37_79b9),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "feed": self.feed.address.to_string(),
            "flow_bytes_per_s": 20_000_000, "link_bytes_per_s": 400_000_000,
            "known": self.feed.known(), "settings": settings})
    }

    /// Starts a gateway, with an operator file if there is one, and waits until it accepts connections.
    pub fn gateway(&self, name: &str, listen: SocketAddr, operator: Option<&str>) -> Gateway {
        self.gateway_with_config(&self.config(name, listen), name, listen, operator)
    }

    /// Like [`Site::gateway`], with another program than the usual one, if one is given.
    pub fn gateway_with_program(
        &self,
        program: Option<&Path>,
        name: &str,
        listen: SocketAddr,
        operator: Option<&str>,
    ) -> Gateway {
        self.start_gateway(program, &self.config(name, listen), name, listen, operator)
    }

    /// Like [`Site::gateway`], with a configuration of the caller's.
    pub fn gateway_with_config(
        &self,
        config: &Value,
        name: &str,
        listen: SocketAddr,
        operator: Option<&str>,
    ) -> Gateway {
        self.start_gateway(None, config, name, listen, operator)
    }

    /// Starts a gateway of another program than the usual one, if one is given, with a configuration of the caller's.
    ///
    /// # Panics
    /// If it ends or does not listen in time.
    pub fn start_gateway(
        &self,
        program: Option<&Path>,
        config: &Value,
        name: &str,
        listen: SocketAddr,
        operator: Option<&str>,
    ) -> Gateway {
        let config_file = self.write_file(&format!("{name}-{}.json", next_number()), &config.to_string());
        let mut arguments = Vec::new();
        if let Some(text) = operator {
            let path = self.write_file(&format!("{name}-{}.textproto", next_number()), text);
            arguments = vec!["run".to_string(), "--operator".to_string(), path.display().to_string()];
        }
        let mut gateway = match program {
            Some(program) => {
                Gateway::spawn_program(&Program::new(program), &config_file, listen, "true", &arguments)
            }
            None => Gateway::spawn_with(&config_file, listen, "true", &arguments),
        };
        until("the gateway listens", || {
            assert!(gateway.child.try_wait().unwrap().is_none(), "the gateway ended: {}", gateway.log());
            TcpStream::connect(listen).is_ok()
        });
        gateway
    }

    fn write_file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.join(name);
        std::fs::write(&path, text).unwrap();
        path
    }
}
