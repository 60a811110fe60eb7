use super::*;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// A task that ended with a panic left a daemon that was ready and did a part of its work no more.
#[test]
fn only_parts_that_panic_are_reported() {
    let (reporter, mut failed) = failure_channel();
    let thread_reporter = reporter.clone();
    let thread = std::thread::spawn(move || {
        let _guard = thread_reporter.guard("thread");
        let runtime = Builder::new_current_thread().build().unwrap();
        LocalSet::new().block_on(&runtime, async {
            thread_reporter.spawn_local("sound", async {});
            thread_reporter.spawn_local("failing", async { panic!("expected by the test") });
            tokio::task::yield_now().await;
        });
        panic!("expected by the test");
    });
    assert!(thread.join().is_err());
    drop(reporter);
    let names: Vec<_> = std::iter::from_fn(|| failed.blocking_recv()).collect();
    assert_eq!(names, ["failing", "thread"]);
}
