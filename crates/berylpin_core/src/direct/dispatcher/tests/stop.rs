use super::*;
use crate::direct::peers::PartsRequest;
use crate::direct::stop::StopSchedule;
use crate::direct::testing::configuration;
use crate::ids::{ReplicaTag, ServiceTag};

/// The time from the stop signal until the platform kills the process.
const STOP_LIMIT: Duration = Duration::from_secs(6);

/// Returns a daemon with a charge that was sent once and has a timeout longer than the stop, the
/// attempt, and the limits of the stop that begins now.
fn start_charge_and_stop() -> (Dispatcher<()>, AttemptKey, Stop, Instant) {
    let now = Instant::now();
    let mut catalogue = catalogue("palermo-1", "palermo", 4, now);
    let mut configuration = configuration(2, 4);
    for route in &mut configuration.routes {
        route.timeout = STOP_LIMIT * 2;
    }
    catalogue.apply_configuration(configuration);
    let (mut dispatcher, mut actions) = (Dispatcher::new(LIMITS, 1), Vec::new());
    dispatcher.handle(Event::View(Arc::new(catalogue.view().unwrap())), now, &mut actions);
    actions.clear();
    dispatcher.handle(charge_event(1), now, &mut actions);
    let attempt = sent_attempts(&actions)[0].0;
    let stop = StopSchedule::new(STOP_LIMIT).begin(now);
    dispatcher.handle(Event::Stop(stop), now, &mut actions);
    (dispatcher, attempt, stop, now)
}

fn charge_event(ticket: u64) -> Event<()> {
    let request = Request {
        host: "a.example".to_owned(),
        path: format!("{CHARGE_PREFIX}x"),
        time_left: Some(STOP_LIMIT * 2),
    };
    Event::Request(Ticket(ticket), request)
}

/// Passes the time up to `end`; returns the actions and the time of the last.
fn run_until(dispatcher: &mut Dispatcher<()>, end: Instant) -> (Vec<Action<()>>, Option<Instant>) {
    let (mut actions, mut last) = (Vec::new(), None);
    while let Some(next) = dispatcher.next_wake().filter(|next| *next <= end) {
        let before = actions.len();
        dispatcher.handle(Event::Wake, next, &mut actions);
        if actions.len() > before {
            last = Some(next);
        }
    }
    (actions, last)
}

/// Requests that waited for an attempt were cut off with the process.
#[test]
fn a_request_that_waits_when_attempts_end_is_refused_as_not_run() {
    let (mut dispatcher, attempt, stop, now) = start_charge_and_stop();
    // Spends the budget, so that the charge waits for it.
    let service = dispatcher.attempts.get(attempt).unwrap().service;
    let standing = dispatcher.view.as_ref().unwrap().services[service].standing;
    while dispatcher.budgets.try_spend(service, standing, true, now) {}
    let mut actions = Vec::new();
    dispatcher.handle(Event::AttemptEnded(attempt, Outcome::Refused(None)), now, &mut actions);
    let latest_start = stop.latest_start(Duration::from_millis(200));
    while answers(&actions).is_empty() {
        let next = dispatcher.next_wake().unwrap();
        assert!(next <= latest_start, "the charge is neither refused nor attempted");
        // Other requests go on to take what the budget gains.
        while dispatcher.budgets.try_spend(service, standing, true, next) {}
        dispatcher.handle(Event::Wake, next, &mut actions);
    }
    assert_eq!(answers(&actions), [(Ticket(1), true)]);
}

/// Requests in flight at the end of the grace time were cut off with the process.
#[test]
fn a_request_in_flight_at_the_end_of_a_stop_is_answered_without_a_promise() {
    let (mut dispatcher, _, stop, _) = start_charge_and_stop();
    let (actions, last) = run_until(&mut dispatcher, stop.serve_until);
    assert_eq!(answers(&actions), [(Ticket(1), false)]);
    assert_eq!(last, Some(stop.serve_until));
}

/// Requests on connections from before the stop were sent to replicas although their answers could
/// not arrive in time.
#[test]
fn a_request_late_in_a_stop_is_refused_at_once() {
    let (mut dispatcher, _, stop, now) = start_charge_and_stop();
    let (mut actions, latest_start) = (Vec::new(), stop.latest_start(Duration::from_millis(200)));
    let just_before = latest_start.checked_sub(Duration::from_millis(1)).unwrap();
    dispatcher.handle(charge_event(2), stop.accept_until, &mut actions);
    dispatcher.handle(charge_event(3), just_before, &mut actions);
    assert_eq!(sent_attempts(&actions).len(), 2);
    actions.clear();
    dispatcher.handle(charge_event(4), latest_start, &mut actions);
    assert_eq!(sent_attempts(&actions), []);
    assert_eq!(answers(&actions), [(Ticket(4), true)]);
    assert!(now < stop.accept_until && stop.accept_until < just_before);
}

/// A replica that reaches the deadline of an attempt tells whether the request ran, which the
/// caller has to learn before the daemon ends.
#[test]
fn attempts_during_a_stop_end_before_the_daemon_does() {
    let (mut dispatcher, _, stop, now) = start_charge_and_stop();
    let mut actions = Vec::new();
    dispatcher.handle(charge_event(2), now, &mut actions);
    let deadlines = actions.iter().filter_map(|action| match action {
        Action::Send { time_left, .. } => Some(now + *time_left),
        _ => None,
    });
    let deadlines: Vec<_> = deadlines.collect();
    assert_eq!(deadlines.len(), 1);
    assert!(deadlines[0] < stop.serve_until);
}

/// A stopping owner took parts that it could not return, and the entry learned that only when the
/// connection closed.
#[test]
fn a_peers_request_late_in_a_stop_is_returned_at_once_as_not_run() {
    let (mut dispatcher, _, stop, _) = start_charge_and_stop();
    let request = PartsRequest {
        host: "a.example".to_owned(),
        path: QUERY_PREFIX.to_owned(),
        services: vec![(ServiceTag::of(["shard-0"]), ReplicaTag::of(["palermo-0"]))],
        limit: 1,
        answer_in: Duration::from_millis(100),
        time_left: Duration::from_secs(1),
    };
    let mut actions = Vec::new();
    let late = stop.latest_start(Duration::from_millis(200));
    dispatcher.handle(Event::PartsRequest(Ticket(2), request), late, &mut actions);
    assert_eq!(sent_attempts(&actions), []);
    let replies = actions.iter().filter_map(|action| match action {
        Action::SendParts(_, reply, true) => Some(&reply.missing[..]),
        _ => None,
    });
    assert_eq!(replies.collect::<Vec<_>>(), [&[(0, Verdict::NotRun)]]);
}
