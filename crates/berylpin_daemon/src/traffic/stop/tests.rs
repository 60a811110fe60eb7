use super::*;

#[test]
fn update_returns_true_only_while_all_threads_are_done() {
    let barrier = StopBarrier::new(2);
    let [a, b] = [0, 1].map(ThreadId::from_index);
    assert!(!barrier.update(a, true));
    assert!(barrier.update(b, true));
    assert!(!barrier.update(a, false), "a thread that received work again is not done");
    assert!(!barrier.update(b, true));
    assert!(barrier.update(a, true));
}

#[test]
fn ended_thread_counts_as_done() {
    let barrier = StopBarrier::new(2);
    let [a, b] = [0, 1].map(ThreadId::from_index);
    drop(barrier.guard(a));
    assert!(barrier.update(b, true));
}
