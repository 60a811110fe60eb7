use super::*;
use crate::direct::catalogue::Catalogue;
use crate::direct::confirmation::ReplicasConfirmation;
use crate::direct::testing::{catalogue, position};
use proptest::prelude::*;
use std::time::Instant;

const REPLICA: &str = "palermo-0";

/// The time from the store's acknowledgement of a removal until an open watch returns it.
const WATCH_DELAY: Duration = Duration::from_millis(60);

/// The shortest time from the end of an outage until an answer arrives.
const ANSWER_TIME: Duration = Duration::from_millis(1);

/// The time from the answer of the store until the traffic thread has the new view.
const VIEW_DELAY: Duration = Duration::from_millis(50);

fn millis(range: std::ops::Range<u64>) -> impl Strategy<Value = Duration> {
    range.prop_map(Duration::from_millis)
}

/// The time until a call after a silent one is answered and applied, without the silent wait.
const DETECTION: Duration = Duration::from_millis(2200);

/// The shortest settle time, in ms, into which the grace time of removed replicas fits.
const SHORTEST_SETTLE_TIME: u64 = 5250;

fn bounds() -> impl Strategy<Value = StoreBounds> {
    bounds_with_settle_time(2000..10_000)
}

fn bounds_with_settle_time(settle_ms: std::ops::Range<u64>) -> impl Strategy<Value = StoreBounds> {
    let times = (millis(settle_ms), millis(2000..10_000), millis(1500..6000), millis(300..3000));
    times.prop_map(|(settle, config_apply, drain, heartbeat)| StoreBounds {
        settle,
        config_apply,
        drain,
        heartbeat,
    })
}

fn is_in_use(catalogue: &Catalogue) -> bool {
    let view = catalogue.view().unwrap();
    let mut replicas = view.services.iter().flat_map(|(_, service)| &service.replicas);
    replicas.any(|replica| &*replica.name == REPLICA)
}

/// Returns when a replica whose entry is removed at `removed_at` is no longer used. The daemon's
/// watch starts at `started` and its connection is silent from then on.
fn last_use_after_silence(
    bounds: &StoreBounds,
    started: Instant,
    removed_at: Instant,
    (jitter, check_phase): (f64, f64),
) -> Instant {
    let times = StoreTimes::new(bounds);
    let mut catalogue =
        catalogue("palermo-1", "palermo", 2, started).with_expiry_grace(times.expiry_grace);
    let failed_at = started + times.replicas_wait + CALL_TIMEOUT;
    catalogue.record_replicas_call(StoreCall::Failed, failed_at);
    let mut called_at = failed_at + INITIAL_RETRY_BACKOFF.mul_f64(jitter);
    let mut wait = Duration::ZERO;
    let learned_at = loop {
        let returned_at = called_at + wait;
        let answered_at = returned_at.min(called_at.max(removed_at)) + WATCH_DELAY;
        let elapsed = answered_at.saturating_duration_since(called_at);
        let call = StoreCall::classify(true, elapsed, wait);
        catalogue.record_replicas_call(call, answered_at);
        if removed_at <= returned_at {
            break answered_at;
        }
        called_at = answered_at;
        wait = times.replicas_wait;
    };
    let mut now = learned_at;
    catalogue.remove_replica(REPLICA, now);
    let mut next_check = now + EXPIRY_CHECK_INTERVAL.mul_f64(check_phase);
    while is_in_use(&catalogue) {
        now = next_check;
        catalogue.expire_replicas(now);
        next_check += EXPIRY_CHECK_INTERVAL;
    }
    now + VIEW_DELAY
}

/// Returns how long a replica that is removed during the settle time after a silence is used beyond
/// both the settle time and the drain limit.
///
/// `silent_after` is a share of the watch's wait and `removed_after` one of the settle time.
fn use_beyond_settle_time(
    bounds: &StoreBounds,
    silent_after: f64,
    removed_after: f64,
    draws: (f64, f64),
) -> Duration {
    let started = Instant::now();
    let silent_at = started + StoreTimes::new(bounds).replicas_wait.mul_f64(silent_after);
    let removed_at = silent_at + bounds.settle.mul_f64(removed_after);
    let last_use = last_use_after_silence(bounds, started, removed_at, draws);
    let due = (silent_at + bounds.settle).max(removed_at + bounds.drain);
    last_use.saturating_duration_since(due)
}

proptest! {
    /// A replica was used too long after its removal, because the time until a dead connection is
    /// noticed and the grace time were each within the bound, but their sum was not.
    #[test]
    fn a_replica_removed_after_a_silent_connection_is_dropped_within_the_drain_bound(
        bounds in bounds(),
        silent_after in 0.0..1.0f64,
        removed_after in millis(0..8000),
        jitter in 1.0..2.0f64,
        check_phase in 0.0..1.0f64,
    ) {
        let started = Instant::now();
        let silent_at = started + StoreTimes::new(&bounds).replicas_wait.mul_f64(silent_after);
        let removed_at = silent_at + bounds.settle + removed_after;
        let last_use =
            last_use_after_silence(&bounds, started, removed_at, (jitter, check_phase));
        let used_for = last_use.saturating_duration_since(removed_at);
        prop_assert!(used_for <= bounds.drain, "used for {used_for:?}");
    }

    /// A silent watch was given up too late: its wait was derived from the sum of the settle time
    /// and the limit for a change, which run at the same time.
    #[test]
    fn a_change_behind_a_silent_watch_is_in_force_within_each_bound(
        bounds in bounds(),
        confirmed_before in 0.0..1.0f64,
        changed_after in millis(0..8000),
        draws in proptest::collection::vec((0.0..1.0f64, 1.0..2.0f64), 32),
    ) {
        let interval = StoreTimes::new(&bounds).confirmation_interval;
        let silent_at = Instant::now() + interval;
        let changed_at = silent_at + changed_after;
        let mut confirmed_at =
            silent_at.checked_sub(interval.mul_f64(confirmed_before)).unwrap();
        let mut draws = draws.into_iter().cycle();
        let learned_at = loop {
            let (draw, jitter) = draws.next().unwrap();
            let mut called_at = confirmed_at + confirmation_delay(interval, draw);
            if called_at < silent_at {
                called_at += CALL_TIMEOUT + INITIAL_RETRY_BACKOFF.mul_f64(jitter);
            }
            let called_at = called_at.max(silent_at);
            if called_at >= changed_at {
                break called_at + WATCH_DELAY + VIEW_DELAY;
            }
            confirmed_at = called_at;
        };
        let shortest = DETECTION;
        let due = (silent_at + bounds.settle.max(shortest))
            .max(changed_at + bounds.config_apply.max(shortest));
        prop_assert!(learned_at <= due, "{:?} too late", learned_at - due);
        if changed_after >= bounds.settle {
            prop_assert!(learned_at <= changed_at + bounds.config_apply);
        }
    }

    /// Changes of replicas were learned from data of any age alone. Here that data never changes; other
    /// changes in the store make its revision newer.
    #[test]
    fn a_change_of_a_replica_that_no_watch_returns_is_learned_within_each_bound(
        bounds in bounds(),
        confirmed_before in 0.0..1.0f64,
        changed_after in millis(0..8000),
        others_after in proptest::collection::vec(millis(0..12_000), 0..8),
        draws in proptest::collection::vec((0.0..1.0f64, 1.0..2.0f64), 32),
    ) {
        let interval = StoreTimes::new(&bounds).confirmation_interval;
        let silent_at = Instant::now() + interval;
        let changed_at = silent_at + changed_after;
        let newest = |now: Instant| {
            let others = others_after.iter().filter(|after| silent_at + **after <= now);
            others.count() as u64 + u64::from(changed_at <= now)
        };
        let mut applied = 0;
        let mut confirmation = ReplicasConfirmation::new(
            silent_at.checked_sub(interval.mul_f64(confirmed_before)).unwrap(),
        );
        let mut draws = draws.into_iter().cycle();
        let learned_at = loop {
            let (draw, jitter) = draws.next().unwrap();
            let mut called_at = confirmation.confirmed_at() + confirmation_delay(interval, draw);
            if called_at < silent_at {
                called_at += CALL_TIMEOUT + INITIAL_RETRY_BACKOFF.mul_f64(jitter);
            }
            let called_at = called_at.max(silent_at);
            let known = Some(position(applied));
            confirmation.record_position(called_at, position(newest(called_at)), known);
            if confirmation.confirmed_at() == called_at {
                continue;
            }
            // The call for older data returns nothing new.
            let called_at = called_at + WATCH_DELAY * 2;
            if called_at >= changed_at {
                break called_at + WATCH_DELAY + VIEW_DELAY;
            }
            applied = newest(called_at);
            let known = position(applied);
            confirmation.record_position(called_at, known, Some(known));
        };
        let due = (silent_at + bounds.settle.max(DETECTION))
            .max(changed_at + bounds.drain.max(DETECTION));
        prop_assert!(learned_at <= due, "{:?} too late", learned_at - due);
        if changed_after >= bounds.settle {
            prop_assert!(learned_at <= changed_at + bounds.drain);
        }
    }

    /// The watch of the replicas had the same fault: an entry that became draining while the settle
    /// time ran was learned too late.
    #[test]
    fn a_silent_watch_of_the_replicas_is_replaced_within_each_bound(bounds in bounds()) {
        let StoreTimes { replicas_wait, .. } = StoreTimes::new(&bounds);
        let due = bounds.settle.min(bounds.drain);
        prop_assert!(replicas_wait + DETECTION <= due.max(MIN_WAIT + DETECTION));
    }

    /// The watch of the replicas was as long as if the settle time and the drain limit added up, so
    /// the grace time of a replica that was removed meanwhile ended late.
    #[test]
    fn a_replica_removed_during_a_silence_is_dropped_by_the_end_of_the_settle_time(
        bounds in bounds_with_settle_time(SHORTEST_SETTLE_TIME..10_000),
        silent_after in 0.0..1.0f64,
        removed_after in 0.0..1.0f64,
        jitter in 1.0..2.0f64,
        check_phase in 0.0..1.0f64,
    ) {
        let excess =
            use_beyond_settle_time(&bounds, silent_after, removed_after, (jitter, check_phase));
        prop_assert_eq!(excess, Duration::ZERO);
    }

    /// The grace time of a removed replica does not fit into a shorter settle time.
    #[test]
    fn a_removed_replica_is_dropped_by_the_end_of_any_settle_time(
        bounds in bounds(),
        silent_after in 0.0..1.0f64,
        removed_after in 0.0..1.0f64,
        jitter in 1.0..2.0f64,
        check_phase in 0.0..1.0f64,
    ) {
        let excess =
            use_beyond_settle_time(&bounds, silent_after, removed_after, (jitter, check_phase));
        prop_assert_eq!(excess, Duration::ZERO);
    }

    /// An outage that no call shows would drop running replicas whose entries expired in it.
    #[test]
    fn each_outage_in_which_entries_can_expire_is_noticed(
        bounds in bounds(),
        begins in 0.0..1.0f64,
    ) {
        let wait = StoreTimes::new(&bounds).replicas_wait;
        let outage = bounds.heartbeat * HEARTBEATS_UNTIL_EXPIRY;
        let outage = outage.max(MIN_WAIT + LATE_ANSWER + REPLICAS_BATCH_DELAY);
        // The store answers the open watch when it recovers.
        let answered_after = (wait.mul_f64(begins) + outage).max(wait) + ANSWER_TIME;
        prop_assert_ne!(StoreCall::classify(true, answered_after, wait), StoreCall::InTime);
        // The outage begins between two watches, and the store holds the next one.
        let held = outage.saturating_sub(REPLICAS_BATCH_DELAY.mul_f64(begins)) + ANSWER_TIME;
        prop_assert_ne!(StoreCall::classify(true, held.max(wait), wait), StoreCall::InTime);
    }
}
