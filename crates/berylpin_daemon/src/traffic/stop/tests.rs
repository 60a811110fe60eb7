use super::*;

#[test]
fn the_gate_opens_only_while_all_threads_are_done() {
    let gate = StopGate::new(2);
    let [a, b] = [0, 1].map(ThreadId::from_index);
    assert!(!gate.update(a, true));
    assert!(gate.update(b, true));
    assert!(!gate.update(a, false), "a thread that got work again holds the others");
    assert!(!gate.update(b, true));
    assert!(gate.update(a, true));
}

#[test]
fn a_thread_that_ended_holds_nobody() {
    let gate = StopGate::new(2);
    let [a, b] = [0, 1].map(ThreadId::from_index);
    drop(gate.guard(a));
    assert!(gate.update(b, true));
}
