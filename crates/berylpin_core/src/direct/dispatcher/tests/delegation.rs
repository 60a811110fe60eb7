//! Calls between daemons: replies that are late, partial or missing.

use super::*;
use crate::direct::peers::{CallKey, PartsReply, PartsRequest};

/// Returns the signature of a part, unique for the part and the call.
fn signature(call: CallKey, part: u16) -> Box<str> {
    format!("{call:?}-{part}").replace([' ', ','], "").into_boxed_str()
}

#[test]
fn parts_fetched_by_a_peer_are_not_attempted_again() {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::<()>::new(LIMITS, 1);
    let mut actions = Vec::new();
    let view = Arc::new(catalogue("messina-1", "messina", 4, now).view().unwrap());
    for peer in &view.peers {
        dispatcher.handle(Event::PeerConnected(peer.id, true), now, &mut actions);
    }
    dispatcher.handle(Event::View(view), now, &mut actions);
    actions.clear();
    let request = Request {
        host: "a.example".to_owned(),
        path: QUERY_PREFIX.to_owned(),
        time_left: Some(Duration::from_secs(1)),
    };
    dispatcher.handle(Event::Request(Ticket(1), request), now, &mut actions);
    assert_eq!(sent_attempts(&actions), []);
    let calls: Vec<_> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Delegate { call, request, .. } => Some((*call, request.services.len() as u16)),
            _ => None,
        })
        .collect();
    assert_eq!(calls.iter().map(|(_, parts)| parts).sum::<u16>(), 4);
    actions.clear();
    for (call, parts) in calls {
        let parts = (0..parts).map(|part| (part, signature(call, part)));
        let reply =
            PartsReply { parts: parts.collect(), missing: Vec::new(), records: Bytes::new() };
        dispatcher.handle(Event::PartsReply(call, reply, true), now, &mut actions);
    }
    assert_eq!(sent_attempts(&actions), []);
    assert!(actions.iter().any(|action| {
        matches!(action, Action::Answer(_, Answer::Merged { missing: 0, signatures, .. }) if signatures.len() == 4)
    }));
}

/// Starts a query at a daemon that delegates all parts; returns the calls and their numbers of
/// parts.
fn start_delegated_query() -> (Dispatcher<()>, Vec<(CallKey, u16)>, Instant) {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::<()>::new(LIMITS, 1);
    let mut actions = Vec::new();
    let view = Arc::new(catalogue("messina-1", "messina", 4, now).view().unwrap());
    for peer in &view.peers {
        dispatcher.handle(Event::PeerConnected(peer.id, true), now, &mut actions);
        dispatcher.record_peer_round_trip(peer.id, Duration::from_millis(40), now);
    }
    dispatcher.handle(Event::View(view), now, &mut actions);
    actions.clear();
    dispatcher.handle(query_event(1), now, &mut actions);
    let calls = actions.iter().filter_map(|action| match action {
        Action::Delegate { call, request, .. } => Some((*call, request.services.len() as u16)),
        _ => None,
    });
    (dispatcher, calls.collect(), now)
}

fn complete_reply(call: CallKey, parts: u16) -> PartsReply {
    let parts = (0..parts).map(|part| (part, signature(call, part)));
    PartsReply { parts: parts.collect(), missing: Vec::new(), records: Bytes::new() }
}

/// An odd signature from a peer made the merged answer wrong as a whole.
#[test]
fn a_reply_with_an_odd_signature_counts_as_a_failed_call() {
    for odd in ["", "a,b", "a b", "a\u{1}"] {
        let (mut dispatcher, calls, now) = start_delegated_query();
        let mut actions = Vec::new();
        let (call, parts) = calls[0];
        let mut reply = complete_reply(call, parts);
        reply.parts[0].1 = odd.into();
        dispatcher.handle(Event::PartsReply(call, reply, true), now, &mut actions);
        assert_eq!(sent_attempts(&actions).len(), usize::from(parts), "{odd:?}");
        assert!(actions.iter().any(|action| matches!(action, Action::CancelCall(_))), "{odd:?}");
    }
}

fn is_disconnect(action: &Action<()>) -> bool {
    matches!(action, Action::Disconnect(_))
}

/// A reply that came shortly after the time allowed for it was thrown away, and the connection to
/// the healthy peer was closed.
#[test]
fn an_overdue_reply_still_counts_and_keeps_the_connection() {
    let (mut dispatcher, calls, now) = start_delegated_query();
    let mut actions = Vec::new();
    let overdue = now + Duration::from_millis(150);
    dispatcher.handle(Event::Wake, overdue, &mut actions);
    assert!(!sent_attempts(&actions).is_empty(), "the entry attempts the parts meanwhile");
    for (call, parts) in calls {
        let event = Event::PartsReply(call, complete_reply(call, parts), true);
        dispatcher.handle(event, overdue + Duration::from_millis(20), &mut actions);
    }
    let later = overdue + Duration::from_secs(1);
    dispatcher.handle(Event::Wake, later, &mut actions);
    assert!(
        actions.iter().any(|action| {
            matches!(action, Action::Answer(_, Answer::Merged { missing: 0, .. }))
        })
    );
    assert!(!actions.iter().any(is_disconnect));
    actions.clear();
    dispatcher.handle(query_event(2), later, &mut actions);
    assert!(actions.iter().any(|action| matches!(action, Action::Delegate { .. })));
}

#[test]
fn a_peer_that_never_replies_is_disconnected() {
    let (mut dispatcher, calls, now) = start_delegated_query();
    let mut actions = Vec::new();
    dispatcher.handle(Event::Wake, now + Duration::from_millis(150), &mut actions);
    assert!(!actions.iter().any(is_disconnect));
    dispatcher.handle(Event::Wake, now + Duration::from_millis(500), &mut actions);
    let disconnected = actions.iter().filter(|action| is_disconnect(action)).count();
    assert_eq!(disconnected, calls.len(), "one connection for each call");
    dispatcher.handle(Event::Wake, now + Duration::from_secs(5), &mut actions);
    assert!(dispatcher.calls.is_empty(), "calls do not outlive the caller's deadline");
}

fn parts_request(view: &View, answer_in: Duration, time_left: Duration) -> PartsRequest {
    let shards = view.services.iter().filter(|(_, service)| service.name.starts_with("shard"));
    PartsRequest {
        host: "a.example".to_owned(),
        path: QUERY_PREFIX.to_owned(),
        services: shards.map(|(_, service)| (service.tag, service.replicas[0].tag)).collect(),
        limit: 10,
        answer_in,
        time_left,
    }
}

/// Starts to fetch all four shards for a peer at a daemon that is near them; returns the attempts.
fn start_fetch(
    answer_in: Duration,
    time_left: Duration,
) -> (Dispatcher<()>, Vec<AttemptKey>, Instant) {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::<()>::new(LIMITS, 1);
    let mut actions = Vec::new();
    let view = Arc::new(catalogue("palermo-1", "palermo", 4, now).view().unwrap());
    let request = parts_request(&view, answer_in, time_left);
    dispatcher.handle(Event::View(view), now, &mut actions);
    dispatcher.handle(Event::PartsRequest(Ticket(1), request), now, &mut actions);
    let attempts = sent_attempts(&actions).into_iter().map(|(attempt, _)| attempt).collect();
    (dispatcher, attempts, now)
}

/// Returns the number of parts in each reply to a peer, and whether it is the last.
fn replies(actions: &[Action<()>]) -> Vec<(usize, bool)> {
    let replies = actions.iter().filter_map(|action| match action {
        Action::SendParts(_, reply, last) => Some((reply.parts.len(), *last)),
        _ => None,
    });
    replies.collect()
}

/// While replicas of many shards are slow, an owner that gave up when the answer was due made
/// whole queries fail although their callers had time left.
#[test]
fn an_owner_sends_parts_that_arrive_after_the_answer_was_due() {
    let answer_in = Duration::from_millis(150);
    let (mut dispatcher, attempts, now) = start_fetch(answer_in, Duration::from_secs(2));
    let mut actions = Vec::new();
    for attempt in &attempts[..2] {
        let event = Event::AttemptEnded(*attempt, answered("x"));
        dispatcher.handle(event, now + Duration::from_millis(100), &mut actions);
    }
    dispatcher.handle(Event::Wake, now + answer_in, &mut actions);
    let sent = replies(&actions);
    assert_eq!(sent.iter().map(|(parts, _)| parts).sum::<usize>(), 2);
    assert!(sent.iter().all(|(_, last)| !last), "{sent:?}");
    actions.clear();
    for (late, attempt) in [(400, attempts[2]), (900, attempts[3])] {
        let event = Event::AttemptEnded(attempt, answered("y"));
        dispatcher.handle(event, now + Duration::from_millis(late), &mut actions);
    }
    assert_eq!(replies(&actions), [(1, false), (1, true)]);
}

#[test]
fn an_owner_reports_the_missing_parts_at_the_deadline() {
    let time_left = Duration::from_secs(2);
    let (mut dispatcher, attempts, now) = start_fetch(Duration::from_millis(150), time_left);
    assert_eq!(attempts.len(), 4);
    let mut actions = Vec::new();
    dispatcher.handle(Event::Wake, now + time_left, &mut actions);
    assert_eq!(replies(&actions), [(0, false), (0, true)]);
    assert_eq!(dispatcher.open_requests(), 0);
}

#[test]
fn an_entry_answers_late_once_it_has_enough_parts_and_cancels_the_rest() {
    let (mut dispatcher, calls, now) = start_delegated_query();
    let mut actions = Vec::new();
    let with_parts = |parts| PartsReply { parts, missing: Vec::new(), records: Bytes::new() };
    for (call, _) in &calls {
        let event = Event::PartsReply(*call, with_parts(Vec::new()), false);
        dispatcher.handle(event, now + Duration::from_millis(100), &mut actions);
    }
    dispatcher.handle(Event::Wake, now + Duration::from_millis(250), &mut actions);
    assert_eq!(answers(&actions), []);
    actions.clear();
    // Three of four parts are enough.
    let mut rest = 3;
    for (call, parts) in &calls {
        let fetched = rest.min(*parts);
        rest -= fetched;
        let fetched = (0..fetched).map(|part| (part, signature(*call, part)));
        let event = Event::PartsReply(*call, with_parts(fetched.collect()), false);
        dispatcher.handle(event, now + Duration::from_millis(600), &mut actions);
    }
    assert_eq!(answers(&actions), [(Ticket(1), false)]);
    let cancelled = actions.iter().filter(|action| matches!(action, Action::CancelCall(_)));
    assert_eq!(cancelled.count(), calls.len());
    assert!(dispatcher.calls.is_empty());
}

/// An owner works on a call until the caller's deadline, so calls must not pile up without end.
#[test]
fn an_owner_without_room_refuses_a_call_as_not_run() {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::<()>::new(LIMITS, 1);
    let view = Arc::new(catalogue("palermo-1", "palermo", 4, now).view().unwrap());
    dispatcher.handle(Event::View(view.clone()), now, &mut Vec::new());
    let request = parts_request(&view, Duration::from_secs(1), Duration::from_secs(3));
    for ticket in 0..=MAX_IN_FLIGHT as u64 {
        let mut actions = Vec::new();
        let event = Event::PartsRequest(Ticket(ticket), request.clone());
        dispatcher.handle(event, now, &mut actions);
        let refused = actions.iter().any(|action| match action {
            Action::SendParts(_, reply, true) => {
                reply.missing.len() == 4
                    && reply.missing.iter().all(|(_, verdict)| *verdict == Verdict::NotRun)
            }
            _ => false,
        });
        assert_eq!(refused, ticket == MAX_IN_FLIGHT as u64, "call {ticket}");
    }
    assert_eq!(dispatcher.open_requests(), MAX_IN_FLIGHT);
}
