use super::*;
use crate::arena::Slab;
use crate::direct::testing::catalogue;
use rand::SeedableRng;

struct Bench {
    view: View,
    replicas: Replicas,
    route_latencies: RouteLatencies,
    rng: SmallRng,
    keys: Slab<()>,
    now: Instant,
}

impl Bench {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            view: catalogue("palermo-1", "palermo", 1, now).view().unwrap(),
            replicas: Replicas::default(),
            route_latencies: RouteLatencies::default(),
            rng: SmallRng::seed_from_u64(1),
            keys: Slab::default(),
            now,
        }
    }

    fn choose(&mut self, tried: &[ReplicaId]) -> Option<Choice> {
        self.choose_for(tried, &[]).ok()
    }

    fn choose_for(
        &mut self,
        tried: &[ReplicaId],
        refused: &[ReplicaId],
    ) -> Result<Choice, NotSent> {
        let route = &self.view.routes[1];
        let found = self.view.services.iter().find(|(_, s)| &*s.name == "shard-0");
        let (id, service) = found.unwrap();
        let mut part = Part::<()>::new(id);
        part.tried.extend(tried);
        part.refused.extend(refused);
        let inputs = (&self.route_latencies, &mut self.rng);
        self.replicas.choose((&self.view, service), route, inputs, (&part, None), self.now)
    }

    fn name(&mut self) -> String {
        self.choose(&[]).unwrap().replica.name.to_string()
    }

    fn send(&mut self) -> (Choice, AttemptKey) {
        let choice = self.choose(&[]).unwrap();
        let key = self.keys.insert(());
        self.replicas.attempt_sent(key, &choice, self.now);
        (choice, key)
    }
}

#[test]
fn the_near_replica_comes_first() {
    assert_eq!(Bench::new().name(), "palermo-0");
}

#[test]
fn a_replica_that_was_tried_is_left_out() {
    let mut bench = Bench::new();
    let first = bench.choose(&[]).unwrap().replica.id;
    let second = bench.choose(&[first]).unwrap().replica.id;
    assert_ne!(second, first);
    assert_eq!(bench.choose_for(&[first, second], &[]).unwrap_err(), NotSent::NoReplica);
    let refused = bench.choose_for(&[first], &[second]).unwrap_err();
    assert_eq!(refused, NotSent::Wait(WaitReason::BackOff));
}

#[test]
fn a_connection_is_waited_for_rather_than_a_replica_that_is_down() {
    let mut bench = Bench::new();
    let near = bench.choose(&[]).unwrap().replica.id;
    let far = bench.choose(&[near]).unwrap().replica.id;
    bench.replicas.record_unreachable(far, bench.now);
    while bench.choose(&[]).is_some() {
        bench.send();
    }
    assert_eq!(bench.choose_for(&[], &[]).unwrap_err(), NotSent::Wait(WaitReason::Connection));
}

#[test]
fn a_silent_replica_is_avoided_until_it_answers() {
    let mut bench = Bench::new();
    let (choice, key) = bench.send();
    bench.now += choice.late_after + Duration::from_millis(1);
    assert_eq!(bench.name(), "catania-0");
    bench.replicas.attempt_ended(choice.replica.id, key, bench.now);
    bench.replicas.record_answer(choice.replica.id, 1.0, false, bench.now);
    assert_eq!(bench.name(), "palermo-0");
}

#[test]
fn a_replica_that_answers_others_is_not_silent() {
    let mut bench = Bench::new();
    let (choice, _) = bench.send();
    let (_, other) = bench.send();
    bench.now += choice.late_after;
    bench.replicas.attempt_ended(choice.replica.id, other, bench.now);
    bench.replicas.record_answer(choice.replica.id, 1.0, false, bench.now);
    bench.now += Duration::from_millis(1);
    assert_eq!(bench.name(), "palermo-0");
}

#[test]
fn a_slow_replica_is_avoided_and_tried_again_later() {
    let mut bench = Bench::new();
    let id = bench.choose(&[]).unwrap().replica.id;
    bench.replicas.record_connect_time(id, Duration::from_micros(200), bench.now);
    for _ in 0..8 {
        bench.replicas.record_answer(id, 8.0, false, bench.now);
    }
    assert_eq!(bench.name(), "catania-0");
    bench.now += DECAY_TIME * 4;
    assert_eq!(bench.name(), "palermo-0");
}

#[test]
fn a_replica_that_cannot_be_connected_to_is_the_last_choice() {
    let mut bench = Bench::new();
    let near = bench.choose(&[]).unwrap().replica.id;
    bench.replicas.record_unreachable(near, bench.now);
    let far = bench.choose(&[]).unwrap().replica.id;
    assert_ne!(far, near);
    bench.replicas.record_unreachable(far, bench.now);
    assert!(bench.choose(&[]).is_some(), "a request that may be the last chance is still tried");
}

#[test]
fn an_address_that_another_replica_has_is_not_used() {
    let mut bench = Bench::new();
    let near = bench.choose(&[]).unwrap().replica.id;
    bench.replicas.record_replaced(near, bench.now);
    assert_eq!(bench.name(), "catania-0");
}

#[test]
fn connections_are_shared_by_the_fleet() {
    assert_eq!(connection_limit(26, 8), 2);
    assert_eq!(connection_limit(110, 8), 12);
    assert_eq!(connection_limit(60, 75), 1);
}

#[test]
fn all_daemons_take_the_same_replica_as_the_home_of_a_part() {
    let now = Instant::now();
    for (own, data_centre) in [("messina-1", "messina"), ("palermo-1", "palermo")] {
        let view = catalogue(own, data_centre, 1, now).view().unwrap();
        let service = view.services.iter().find(|(_, s)| &*s.name == "shard-0").unwrap().1;
        for name in ["palermo-0", "catania-0"] {
            let replica = service.replicas.iter().find(|r| &*r.name == name).unwrap();
            assert_eq!(nearest_replica(&service.replicas, replica.data_centre), Some(replica.tag));
        }
    }
}
