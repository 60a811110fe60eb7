use super::*;

#[test]
fn the_barrier_opens_only_while_all_threads_are_done() {
    let barrier = StopBarrier::new(2);
    let [a, b] = [0, 1].map(ThreadId::from_index);
    assert!(!barrier.update(a, true));
    assert!(barrier.update(b, true));
    assert!(!barrier.update(a, false), "a thread that got work again holds the others");
    assert!(!barrier.update(b, true));
    assert!(barrier.update(a, true));
}

#[test]
fn a_thread_that_ended_holds_nobody() {
    let barrier = StopBarrier::new(2);
    let [a, b] = [0, 1].map(ThreadId::from_index);
    drop(barrier.guard(a));
    assert!(barrier.update(b, true));
}
