//! The settings of a small deployment, with the names and figures of the operators' wire page.

/// What differs between cases.
#[derive(Clone, Debug)]
pub struct Figures {
    pub purge_grace_ms: f64,
    pub drain_grace_ms: f64,
    pub dedup_window_ms: f64,
}

impl Default for Figures {
    fn default() -> Self {
        Figures { purge_grace_ms: 1000.0, drain_grace_ms: 500.0, dedup_window_ms: 6000.0 }
    }
}

/// The JSON of `settings` for a gateway in zone `edge-1`, number `position` of `group_size`.
pub fn settings(figures: &Figures, position: usize, group_size: usize) -> String {
    let class = |name: &str,
                 aim: f64,
                 stretch: f64,
                 deadline: f64,
                 worth: f64,
                 late: f64,
                 effect: &str,
                 window: f64| {
        format!(
            "{{\"name\":\"{name}\",\"aimMs\":{aim:.1},\"aimStretch\":{stretch:.1},\"deadlineMs\":{deadline:.1},\
             \"dedupWindowMs\":{window:.1},\"effect\":\"{effect}\",\"group\":\"all\",\"importance\":{worth:.1},\
             \"lateShare\":{late},\"stream\":false}}"
        )
    };
    let classes = [
        class("video", 600.0, 1.6, 5000.0, 2.0, 0.15, "retryable", 5000.0),
        class("small", 400.0, 2.0, 2500.0, 1.0, 0.2, "retryable", 5000.0),
        class("booking", 800.0, 0.0, 3000.0, 3.0, 0.0, "dedup", figures.dedup_window_ms),
    ];
    let Figures { purge_grace_ms, drain_grace_ms, .. } = figures;
    format!(
        "{{\"services\":[{}],\
         \"familyInfo\":{{\"agedWorth\":[0.7,0.7,0.7],\"bypassAllowed\":true,\"canJoin\":true,\
         \"clearedWithinMs\":6000.0,\"flowKbPerS\":6200.0,\"goesThrough\":[false,false,true],\
         \"inletKbPerS\":[0.0,0.0,46706.0],\"maxAgeMs\":[0.0,12000.0,0.0],\"noteLevel\":\"none\",\
         \"obeyAfterMs\":{purge_grace_ms:.1},\"parentFallMultiple\":2.0,\"shieldKind\":2,\"sideways\":\"location\",\
         \"sourceKind\":3,\"upperColdFrom\":0.081,\"upperColdMs\":20000.0,\"usableAfterMs\":[0.0,0.0,0.0],\
         \"zoneBalancers\":[0,0,{group_size}],\"zoneHub\":[0,1,1],\"segmented\":[true,false,false]}},\
         \"limits\":{{\"cancel\":true,\"connIdleMs\":15000.0,\"connectTimeoutMs\":400.0,\"maxOpen\":20000,\
         \"maxRetryAfterMs\":500.0,\"maxStreams\":100,\"peers\":false,\"probes\":true,\"retryAfter\":true,\
         \"secondCopies\":false,\"sendCap\":6}},\
         \"rules\":{{\"answerSlackMs\":8.0,\"coldFrom\":0.17,\"drainGraceMs\":{drain_grace_ms:.1},\"fallMs\":1000.0,\
         \"fallMultiple\":2.5,\"rampTimeMs\":18000.0}},\
         \"report\":{{\"fields\":[\"busy_reqs\",\"x1\"],\"via\":\"probe\"}},\"weightKind\":\"nominal\",\
         \"machineTypes\":[\"box-a\",\"box-b\",\"parent\",\"origin\"],\"zones\":[\"west\",\"east\",\"edge-1\"],\
         \"locality\":2,\"groupSize\":{group_size},\"position\":{position},\"discovery\":\"pushed\"}}",
        classes.join(",")
    )
}
