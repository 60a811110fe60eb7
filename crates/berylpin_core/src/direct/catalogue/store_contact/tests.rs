use super::*;
use crate::direct::catalogue::Catalogue;
use crate::direct::store_times::{
    EXPIRY_CHECK_INTERVAL, INITIAL_RETRY_BACKOFF, OVERDUE_TIMEOUT, REPLICAS_BATCH_DELAY,
    StoreBounds, StoreTimes,
};
use crate::direct::testing::{EXPIRY_GRACE, catalogue, position, replica_entry};
use proptest::prelude::*;
use std::time::Duration;

const REPLICA: &str = "palermo-0";

/// The time of an answer of the store, and the time until the traffic thread has a new view.
const ANSWER_TIME: Duration = Duration::from_millis(30);
const VIEW_TIME: Duration = Duration::from_millis(50);

/// The time after the store's return within which running replicas have written their entries.
const REWRITE_TIME: Duration = Duration::from_secs(2);

/// The shortest settle time into which the grace time after an outage fits.
const GRACE_SETTLE_TIME: Duration = Duration::from_secs(4);

/// What happens to calls during a disruption.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Manner {
    /// They fail at once.
    Refused,
    /// They get no answer.
    Silent,
    /// They are answered when the store is back.
    Held,
}

/// A disruption of the store, or of the path to it; one that ends as it begins silences the open
/// connections alone.
#[derive(Clone, Copy, Debug)]
struct Disruption {
    begins: Instant,
    ends: Instant,
    manner: Manner,
}

/// A change of the replica's entry.
#[derive(Clone, Copy, Debug)]
enum Change {
    Removed,
    Written,
}

/// A daemon that watches the replicas, and the store, in virtual time.
struct Simulation {
    times: StoreTimes,
    catalogue: Catalogue,
    disruption: Disruption,
    /// In the order of their times.
    changes: Vec<(Instant, Change)>,
    next_check: Instant,
    /// When the replica was no longer used for the first time.
    dropped_at: Option<Instant>,
}

impl Simulation {
    fn new(bounds: &StoreBounds, started: Instant, disruption: Disruption) -> Self {
        let times = StoreTimes::new(bounds);
        let catalogue =
            catalogue("palermo-1", "palermo", 2, started).with_expiry_grace(times.expiry_grace);
        Self {
            times,
            catalogue,
            disruption,
            changes: Vec::new(),
            next_check: started,
            dropped_at: None,
        }
    }

    /// Runs until `end`; `draws` are the jitters of the back-offs, from 1 to 2.
    fn run(&mut self, started: Instant, end: Instant, draws: &[f64]) {
        let (mut now, mut seen, mut failures) = (started, 0, 0);
        let mut draws = draws.iter().cycle();
        while now < end {
            let called_at = now;
            let wait = if failures == 0 { self.times.replicas_wait } else { Duration::ZERO };
            self.catalogue.begin_replicas_call(called_at);
            let answer = self.answer(called_at, wait, seen);
            let (answered, ended_at) = match answer {
                Ok(at) => (true, at),
                Err(at) => (false, at),
            };
            now = ended_at;
            self.expire_until(now);
            let elapsed = now - called_at;
            let call = StoreCall::classify(answered, elapsed, wait);
            self.catalogue.record_replicas_call(call, now);
            if answered {
                failures = 0;
                let before = seen;
                while seen < self.changes.len() && self.changes[seen].0 <= now {
                    self.apply(self.changes[seen].1, now);
                    seen += 1;
                }
                if seen > before {
                    now += REPLICAS_BATCH_DELAY;
                }
            } else {
                failures += 1;
                let backoff = INITIAL_RETRY_BACKOFF * 2u32.pow((failures - 1).min(8));
                let backoff = backoff.min(self.times.replicas_retry / 2);
                now += backoff.mul_f64(*draws.next().unwrap()).saturating_sub(elapsed);
            }
            self.expire_until(now);
        }
    }

    /// Returns when a call is answered, or when it fails.
    fn answer(&self, called_at: Instant, wait: Duration, seen: usize) -> Result<Instant, Instant> {
        let Disruption { begins, ends, manner } = self.disruption;
        let late_by = if wait.is_zero() { self.times.replicas_retry } else { OVERDUE_TIMEOUT };
        let times_out = called_at + wait + late_by;
        let changed_at = self.changes.get(seen).map(|(at, _)| (*at).max(called_at));
        let due = changed_at.map_or(called_at + wait, |at| at.min(called_at + wait)) + ANSWER_TIME;
        let is_disrupted = called_at < ends && due > begins;
        let silenced = begins == ends && called_at < begins && due > begins;
        if !is_disrupted && !silenced {
            return Ok(due);
        }
        let held_until = due.max(ends + ANSWER_TIME);
        match manner {
            Manner::Refused => Err(called_at.max(begins) + Duration::from_millis(1)),
            Manner::Held if held_until < times_out => Ok(held_until),
            Manner::Silent | Manner::Held => Err(times_out),
        }
    }

    fn apply(&mut self, change: Change, now: Instant) {
        match change {
            Change::Removed => {
                self.catalogue.remove_replica(REPLICA, now);
            }
            Change::Written => {
                self.catalogue.put_replica(replica_entry(REPLICA, "shard-0", "palermo"), now);
            }
        }
        self.note_use(now);
    }

    fn expire_until(&mut self, now: Instant) {
        while self.next_check <= now {
            self.catalogue.expire_replicas(self.next_check);
            self.note_use(self.next_check);
            self.next_check += EXPIRY_CHECK_INTERVAL;
        }
    }

    fn note_use(&mut self, now: Instant) {
        let view = self.catalogue.view().unwrap();
        let mut replicas = view.services.iter().flat_map(|(_, service)| &service.replicas);
        if !replicas.any(|replica| &*replica.name == REPLICA) {
            self.dropped_at.get_or_insert(now);
        }
    }
}

fn millis(range: std::ops::Range<u64>) -> impl Strategy<Value = Duration> {
    range.prop_map(Duration::from_millis)
}

fn bounds(settle_ms: std::ops::Range<u64>) -> impl Strategy<Value = StoreBounds> {
    let times = (millis(settle_ms), millis(1500..10_000), millis(300..3000));
    times.prop_map(|(settle, drain, heartbeat)| StoreBounds {
        settle,
        config_apply: drain,
        drain,
        heartbeat,
    })
}

fn draws() -> impl Strategy<Value = Vec<f64>> {
    proptest::collection::vec(1.0..2.0f64, 1..9)
}

proptest! {
    /// A replica that was removed while this daemon alone was cut off from the store was kept as
    /// after an outage of the store, by a grace time that began when the daemon noticed the end of
    /// the cut.
    #[test]
    fn a_removed_replica_is_dropped_within_the_bounds_after_any_cut_from_the_store(
        bounds in bounds(1000..30_000),
        begins in millis(0..8000),
        lasts in prop_oneof![Just(Duration::ZERO), millis(1..12_000)],
        is_refused in any::<bool>(),
        removed_at in 0.0..1.0f64,
        draws in draws(),
    ) {
        let started = Instant::now();
        let begins = started + begins;
        let is_refused = is_refused && !lasts.is_zero();
        let manner = if is_refused { Manner::Refused } else { Manner::Silent };
        let disruption = Disruption { begins, ends: begins + lasts, manner };
        let touched_at = disruption.ends + bounds.settle;
        let removed_at = started + (touched_at + bounds.drain - started).mul_f64(removed_at);
        let mut simulation = Simulation::new(&bounds, started, disruption);
        simulation.changes = vec![(removed_at, Change::Removed)];
        let due = touched_at.max(removed_at + bounds.drain);
        simulation.run(started, due, &draws);
        let last_use = simulation.dropped_at.map(|at| at + VIEW_TIME);
        prop_assert!(last_use.is_some_and(|at| at <= due), "{last_use:?} after {due:?}");
    }

    /// A grace time that ends by the settle time of a single failed call would drop running replicas
    /// after each outage.
    #[test]
    fn a_running_replica_is_kept_through_any_outage_in_which_its_entry_expires(
        bounds in bounds(GRACE_SETTLE_TIME.as_millis() as u64..30_000),
        begins in millis(0..8000),
        lasts in millis(0..12_000),
        manner in prop_oneof![Just(Manner::Refused), Just(Manner::Silent), Just(Manner::Held)],
        removed_at in 0.0..1.0f64,
        written_at in 0.0..1.0f64,
        draws in draws(),
    ) {
        let started = Instant::now();
        let begins = started + begins;
        let shortest = (bounds.heartbeat * 2).max(Duration::from_millis(850));
        let disruption = Disruption { begins, ends: begins + shortest + lasts, manner };
        let removed_at = begins + shortest + lasts.mul_f64(removed_at);
        let written_at = disruption.ends + REWRITE_TIME.mul_f64(written_at);
        let mut simulation = Simulation::new(&bounds, started, disruption);
        simulation.changes = vec![(removed_at, Change::Removed), (written_at, Change::Written)];
        simulation.run(started, written_at + bounds.settle, &draws);
        prop_assert_eq!(simulation.dropped_at, None);
    }

    /// A silence that is shorter than the time in which an entry expires is no outage: a removal that
    /// the next call returns takes effect at once.
    #[test]
    fn a_removal_behind_a_short_silence_takes_effect_as_it_is_learned(
        settle in millis(3000..30_000),
        drain in millis(1500..3200),
        heartbeat in millis(1200..3000),
        begins in millis(0..8000),
        removed_after in 0.0..1.0f64,
        draws in draws(),
    ) {
        let started = Instant::now();
        let bounds = StoreBounds { settle, config_apply: drain, drain, heartbeat };
        let begins = started + begins;
        let disruption = Disruption { begins, ends: begins, manner: Manner::Silent };
        let mut simulation = Simulation::new(&bounds, started, disruption);
        let silent = simulation.times.replicas_wait + OVERDUE_TIMEOUT + ANSWER_TIME;
        let removed_at = begins + bounds.settle.mul_f64(removed_after);
        simulation.changes = vec![(removed_at, Change::Removed)];
        let due = removed_at.max(begins + silent) + ANSWER_TIME;
        simulation.run(started, due + bounds.drain, &draws);
        prop_assert!(simulation.dropped_at.is_some_and(|at| at <= due));
    }
}

/// A short failure after an outage must not end the grace time of the outage.
#[test]
fn a_failed_call_after_an_outage_does_not_end_its_grace_time() {
    let (now, second) = (Instant::now(), Duration::from_secs(1));
    let mut contact = StoreContact::default();
    contact.set_grace(ExpiryGrace {
        after_outage: second * 2,
        shortest_outage: second * 2,
        after_failed_call: second * 60,
    });
    contact.record_call(StoreCall::InTime, now);
    contact.record_call(StoreCall::Failed, now + second);
    let recovered = now + second * 4;
    contact.record_call(StoreCall::InTime, recovered);
    contact.record_call(StoreCall::Failed, recovered + second / 4);
    contact.record_call(StoreCall::InTime, recovered + second / 2);
    assert_eq!(contact.grace_end(recovered + second / 2), recovered + second * 2);
}

fn replica_count(catalogue: &Catalogue) -> usize {
    let view = catalogue.view().unwrap();
    view.services.iter().map(|(_, service)| service.replicas.len()).sum()
}

/// Entries that were written after the copy from which the store was restored are missing until they
/// are written again.
#[test]
fn replicas_that_a_restored_store_lost_are_kept_until_they_are_listed_again() {
    let now = Instant::now();
    let mut catalogue = catalogue("palermo-1", "palermo", 1, now);
    catalogue.advance_replicas(position(9));
    let count = replica_count(&catalogue);
    catalogue.set_replicas(Vec::new(), position(5), now);
    assert!(catalogue.expire_replicas(now + REWRITE_TIME).is_empty());
    assert_eq!(replica_count(&catalogue), count);
    assert_eq!(catalogue.expire_replicas(now + EXPIRY_GRACE).len(), count);
    let mut compacted = crate::direct::testing::catalogue("palermo-1", "palermo", 1, now);
    assert!(compacted.set_replicas(Vec::new(), position(9), now));
}
