//! Odd configurations, and odd requests of peers: a panic would end a thread, and with it the daemon.

use super::*;
use crate::direct::catalogue::Catalogue;
use crate::direct::configuration::{ClientLimits, Configuration, RouteConfig, RouteTarget};
use crate::direct::peers::PartsRequest;
use crate::ids::{ReplicaTag, ServiceTag};

fn any_duration() -> impl Strategy<Value = Duration> {
    prop_oneof![
        Just(Duration::ZERO),
        Just(Duration::from_nanos(1)),
        Just(Duration::MAX),
        Just(Duration::from_secs(1 << 40)),
        any::<u32>().prop_map(|ms| Duration::from_millis(ms.into())),
    ]
}

fn any_number() -> impl Strategy<Value = f64> {
    prop_oneof![
        Just(f64::NAN),
        Just(f64::INFINITY),
        Just(f64::MAX),
        Just(-1.0),
        Just(0.0),
        Just(1e-300),
        any::<f64>(),
    ]
}

fn any_target() -> impl Strategy<Value = RouteTarget> {
    let services =
        || proptest::collection::vec(prop_oneof!["shard-[0-3]", "ledger", "", "\\PC{1,3}"], 0..5);
    let limit = prop_oneof![Just(0), Just(1), Just(usize::MAX), any::<usize>()];
    prop_oneof![
        (services(), proptest::collection::vec(any_number(), 5)).prop_map(|(names, weights)| {
            RouteTarget::Split(names.into_iter().zip(weights).collect())
        }),
        (services(), limit, any_number()).prop_map(|(services, limit, min_coverage)| {
            RouteTarget::Shards { services, limit, min_coverage }
        }),
    ]
}

fn any_route() -> impl Strategy<Value = RouteConfig> {
    let text = || prop_oneof![Just(String::new()), Just("a.example".to_owned()), "\\PC{0,3}"];
    let times = (any_duration(), any_duration());
    let prefix = prop_oneof![Just(String::new()), Just("/".to_owned()), Just("/x".to_owned())];
    (text(), text(), prefix, any_target(), any::<bool>(), times, any::<u32>(), any::<u8>())
        .prop_map(
            |(name, host, prefix, target, idempotent, times, max_attempts, priority_index)| {
                RouteConfig {
                    name,
                    host,
                    prefix,
                    target,
                    idempotent,
                    timeout: times.0,
                    target_latency: times.1,
                    max_attempts,
                    priority_index,
                }
            },
        )
}

fn any_configuration() -> impl Strategy<Value = Configuration> {
    let routes = proptest::collection::vec(any_route(), 0..4);
    let connections = proptest::collection::vec(("shard-[0-3]", any::<u32>()), 0..3);
    let limits = (any::<usize>(), any::<usize>(), any_duration(), any_duration());
    (2..9_u64, routes, connections, limits).prop_map(
        |(version, routes, max_connections, limits)| {
            let (header_bytes, body_bytes, header_timeout, idle_timeout) = limits;
            let limits = ClientLimits { header_bytes, body_bytes, header_timeout, idle_timeout };
            Configuration { version, routes, max_connections, limits }
        },
    )
}

fn outcome(number: usize) -> Outcome<()> {
    match number % 4 {
        0 => answered("s.0"),
        1 => Outcome::Refused(Some(Duration::MAX)),
        2 => Outcome::Broken(Verdict::MayHaveRun, Failure::NoAnswer),
        _ => Outcome::WrongReplica,
    }
}

/// Sends requests and answers their attempts, until nothing is left to do.
fn drive(catalogue: &Catalogue, requests: Vec<Event<()>>, now: Instant) {
    let mut dispatcher = Dispatcher::<()>::new(LIMITS, 1);
    let mut actions = Vec::new();
    dispatcher.handle(Event::View(Arc::new(catalogue.view().unwrap())), now, &mut actions);
    for request in requests {
        dispatcher.handle(request, now, &mut actions);
    }
    let mut later = now;
    for number in 0..20 {
        later += Duration::from_millis(37);
        for (attempt, _) in sent_attempts(&std::mem::take(&mut actions)) {
            dispatcher.handle(Event::AttemptEnded(attempt, outcome(number)), later, &mut actions);
        }
        dispatcher.handle(Event::Wake, later, &mut actions);
    }
}

proptest! {
    #[test]
    fn an_odd_configuration_never_panics(
        configuration in any_configuration(),
        path in prop_oneof![Just("/x"), Just("/"), Just("")],
        time_left in proptest::option::of(any_duration()),
    ) {
        let now = Instant::now();
        let mut catalogue = catalogue("palermo-1", "palermo", 4, now);
        let hosts: Vec<_> = configuration.routes.iter().map(|route| route.host.clone()).collect();
        prop_assert!(catalogue.apply_configuration(configuration));
        let view = catalogue.view().unwrap();
        for route in &view.routes {
            if let Target::Shards { services, .. } = &route.target {
                let mut unique = services.clone();
                unique.sort_unstable();
                unique.dedup();
                prop_assert_eq!(unique.len(), services.len(), "a shard would be merged twice");
            }
        }
        let requests = hosts.into_iter().enumerate().map(|(number, host)| {
            let request = Request { host, path: path.to_owned(), time_left };
            Event::Request(Ticket(number as u64), request)
        });
        drive(&catalogue, requests.collect(), now);
    }

    #[test]
    fn an_odd_request_of_a_peer_never_panics(
        services in proptest::collection::vec((0..6_usize, any::<u64>()), 0..8),
        limit in any::<u32>(),
        (answer_in, time_left) in (any_duration(), any_duration()),
    ) {
        let now = Instant::now();
        let catalogue = catalogue("palermo-1", "palermo", 4, now);
        let tag = |index: usize| ServiceTag::of([&*format!("shard-{index}")]);
        let request = PartsRequest {
            host: "a.example".to_owned(),
            path: QUERY_PREFIX.to_owned(),
            services: services.into_iter().map(|(index, r)| (tag(index), ReplicaTag(r))).collect(),
            limit,
            answer_in,
            time_left,
        };
        drive(&catalogue, vec![Event::PartsRequest(Ticket(1), request)], now);
    }
}
