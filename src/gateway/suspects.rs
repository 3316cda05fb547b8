//! Contents that endpoints ended under: noted where they are cut, told to peers and the store, and looked up before anything is sent.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use spdlog::{info, warn};

use super::heartbeat;
use super::inbound_call::Call;
use super::node::Gateway;
use super::ownership::owner_address;
use super::site_store::{KeptSuspect, SiteStore};
use crate::error::{Error, ErrorKind};
use crate::kernel::backoff::Backoff;
use crate::kernel::crash_suspects::{
    EndpointCrash, START_WINDOW, SuspectChange, SuspectReport, Verdict, short_hash, software_id,
};
use crate::kernel::fingerprint::RequestFingerprint;
use crate::kernel::fleet::EndpointEntry;
use crate::peer::convert::BadField;
use crate::peer::generated as wire;

/// How often it is looked whether something has lapsed or was not kept.
const LOOK_EVERY: Duration = Duration::from_secs(1);
/// First pause after the store did not take something.
const PAUSE_MIN: Duration = Duration::from_millis(200);
/// Longest such pause: the store is back for no longer than this before it is told.
const PAUSE_MAX: Duration = Duration::from_secs(1);
/// The member that looks after what others should have had kept, and drops what has lapsed, is the owner of this role.
const KEEPER_ROLE: &str = "contents that endpoints ended under";

/// Whether a request may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Admission {
    /// It may.
    Sent,
    /// Endpoints ended under it. Those with other software have finished it, or it may be tried on them once.
    Restricted {
        /// Endpoints to which it must not go.
        excluded: Vec<String>,
    },
    /// It must not.
    Refused,
}

/// What is known of the content of a request. The body is read only where something is known of a request with the same head.
pub(super) fn verdict(call: &Call) -> Verdict {
    let gateway = &call.gateway;
    if !is_known(call) {
        return Verdict::Allowed;
    }
    let content = call.content();
    let now = gateway.now();
    gateway.suspects.lock().verdict(content, now)
}

fn is_known(call: &Call) -> bool {
    let suspects = &call.gateway.suspects;
    // Most of the time nothing is known of any request, and nothing need be hashed.
    if suspects.lock().is_empty() {
        return false;
    }
    let head = call.content_head();
    suspects.lock().has_head(head)
}

/// Whether a request may be sent; `restricted` tells that it was admitted to some endpoints before.
pub(super) fn admission(call: &Call, restricted: bool) -> Admission {
    if restricted || verdict(call) != Verdict::Refused {
        return Admission::Sent;
    }
    let ready: Vec<EndpointEntry> = {
        let fleet = call.gateway.fleet.lock();
        fleet.ready(&call.service).cloned().collect()
    };
    let Some(sound) = sound_software(call, &ready).or_else(|| software_to_try(call, &ready)) else {
        return Admission::Refused;
    };
    let others = ready.iter();
    let others = others.filter(|endpoint| software(endpoint) != sound);
    let excluded = others.map(|endpoint| endpoint.id.clone()).collect();
    Admission::Restricted { excluded }
}

/// Software that has finished the request.
fn sound_software(call: &Call, ready: &[EndpointEntry]) -> Option<u64> {
    let content = call.content();
    let suspects = call.gateway.suspects.lock();
    let mut sound = ready.iter().map(software);
    sound.find(|software| suspects.has_finished_on(content, *software))
}

/// Software on which the request is tried from now on. The service's owner alone does so, so that a release which mends nothing costs one endpoint and
/// not one an instance.
fn software_to_try(call: &Call, ready: &[EndpointEntry]) -> Option<u64> {
    let gateway = &call.gateway;
    if owner_address(gateway, &call.service).is_some() {
        return None;
    }
    let content = call.content();
    let now = gateway.now();
    let tried = {
        let mut suspects = gateway.suspects.lock();
        let mut all = ready.iter().map(software);
        all.find(|software| suspects.begin_trial(content, *software, now))
    }?;
    info!("crashing content on trial", kv: { content:, service = call.service.as_str() });
    Some(tried)
}

fn software(endpoint: &EndpointEntry) -> u64 {
    software_id(&endpoint.service, &endpoint.software)
}

/// The error for a request that is sent to no endpoint.
pub(super) fn refused(call: &Call) -> Error {
    let content = call.content();
    if crate::log::admits("crashing content refused") {
        info!("crashing content refused", kv: {
            request_id = call.head.request_id.as_str(), content:, service = call.service.as_str(),
        });
    }
    metrics::counter!("larkwick_suspects_refused_total").increment(1);
    let message = format!(
        "endpoints of service {} end when they run this request; not run; ask the operators to let {content} go",
        call.service
    );
    Error::new(ErrorKind::EndsEndpoints, message)
}

/// An endpoint has answered a request with success and is there: it does not end endpoints.
pub(super) fn note_survived(call: &Call, endpoint: &EndpointEntry) {
    if !is_known(call) {
        return;
    }
    let gateway = &call.gateway;
    let content = call.content();
    let change =
        gateway
            .suspects
            .lock()
            .record_survival(content, software(endpoint), gateway.now());
    if change != SuspectChange::None {
        info!("suspected content finished", kv: {
            content:, endpoint = endpoint.id.as_str(), request_id = call.head.request_id.as_str(),
        });
        gateway.suspects_changed.notify_one();
    }
}

/// An engine has run a generation on past its beginning.
pub(super) fn note_ran_on(call: &Call) {
    if !is_known(call) {
        return;
    }
    let gateway = &call.gateway;
    let content = call.content();
    gateway
        .suspects
        .lock()
        .record_ran_past_start(content, gateway.now());
}

impl Gateway {
    /// An endpoint ended while it ran a content, whose first event had come so long ago.
    pub(super) fn note_end(
        self: &Arc<Self>,
        content: RequestFingerprint,
        endpoint: &EndpointEntry,
        ran_for: Duration,
    ) {
        let end = EndpointCrash {
            endpoint: short_hash(&endpoint.id),
            software: software(endpoint),
            at_start: ran_for < START_WINDOW,
        };
        let change = self.suspects.lock().record_crash(content, end, self.now());
        self.suspects_after(content, change, "seen here");
        if change != SuspectChange::None {
            // The request comes again at once, anywhere. Told with the usual heartbeats each 0.5 s, nine engines ended in place of three under 14 tries at
            // three instances, 28 ms apart (six runs).
            heartbeat::beat_soon(self);
        }
    }

    /// An operator lets a content go, here and, with the news of it, everywhere; gives whether it was known.
    pub(super) fn let_suspect_go(self: &Arc<Self>, content: RequestFingerprint) -> bool {
        let was_known = self.suspects.lock().release(content, self.now());
        if was_known {
            info!("content let go by an operator", kv: { content: });
            self.suspects_changed.notify_one();
            heartbeat::beat_soon(self);
        }
        was_known
    }

    /// Takes what a peer tells.
    pub(super) fn take_suspects(
        self: &Arc<Self>,
        suspects: Vec<wire::Suspect>,
    ) -> Result<(), BadField> {
        for told in suspects {
            let told: SuspectReport = told.try_into()?;
            let change = self.suspects.lock().merge(&told, self.now());
            self.suspects_after(told.fingerprint, change, "member");
            if change == SuspectChange::NowRefused {
                heartbeat::beat_soon(self);
            }
        }
        Ok(())
    }

    /// Takes what the store holds.
    pub(super) fn take_kept_suspect(&self, kept: &KeptSuspect) {
        let told = kept.told(self.clock.unix_time());
        let change = {
            let mut suspects = self.suspects.lock();
            let change = suspects.merge(&told, self.now());
            suspects.mark_stored(&told);
            change
        };
        self.suspects_after(told.fingerprint, change, "store");
    }

    /// What peers are told.
    pub(super) fn suspect_news(&self) -> Vec<wire::Suspect> {
        let news = self.suspects.lock().recent_updates(self.now());
        news.iter().map(Into::into).collect()
    }

    fn suspects_after(&self, content: RequestFingerprint, change: SuspectChange, source: &str) {
        if change == SuspectChange::None {
            return;
        }
        self.suspects_changed.notify_one();
        let (known, refused) = {
            let suspects = self.suspects.lock();
            (suspects.len(), suspects.refused_count())
        };
        let gauge = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        metrics::gauge!("larkwick_suspects", "kind" => "known").set(gauge(known));
        metrics::gauge!("larkwick_suspects", "kind" => "refused").set(gauge(refused));
        if change == SuspectChange::NowRefused {
            warn!("crashing content found", kv: { content:, source, known:, refused: });
        }
    }

    fn keeps_suspects(&self) -> bool {
        let live = self.live.view();
        let keeper = live.owner(KEEPER_ROLE);
        keeper.is_some_and(|keeper| keeper.name == self.incarnation.name)
    }
}

/// Has the store keep what outlasts a loss of all instances, for the life of the instance.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut pause = Backoff::new(PAUSE_MIN, PAUSE_MAX);
    loop {
        tokio::select! {
            () = tokio::time::sleep(LOOK_EVERY) => {}
            () = gateway.suspects_changed.notified() => {}
        }
        match keep_all(&gateway).await {
            Ok(()) => pause.reset(),
            Err(why) => {
                if crate::log::admits("content not kept") {
                    warn!("content not kept", kv: { why = why.as_str() });
                }
                let pause = pause.next_pause(rand::rng().random_range(0.0..1.0));
                tokio::time::sleep(pause).await;
                gateway.suspects_changed.notify_one();
            }
        }
    }
}

async fn keep_all(gateway: &Gateway) -> Result<(), String> {
    let now = gateway.now();
    let is_keeper = gateway.keeps_suspects();
    let (due, lapsed) = {
        let mut suspects = gateway.suspects.lock();
        if suspects.is_empty() {
            return Ok(());
        }
        let lapsed = suspects.expire(now);
        (suspects.due_for_store(is_keeper, now), lapsed)
    };
    for told in due {
        let kept = KeptSuspect::new(told.clone(), gateway.clock.unix_time());
        let written = gateway.store.keep_suspect(&kept).await;
        written.map_err(|error| error.to_string())?;
        gateway.suspects.lock().mark_stored(&told);
    }
    for content in lapsed.into_iter().filter(|_| is_keeper) {
        let dropped = gateway.store.drop_suspect(content).await;
        dropped.map_err(|error| error.to_string())?;
    }
    Ok(())
}
