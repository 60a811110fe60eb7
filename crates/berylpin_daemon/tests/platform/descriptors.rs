//! Daemons that run out of file descriptors.

use super::process::{FleetPorts, Process};
use berylpin_platform_standin::{Store, configuration};
use berylpin_standin::net::Zone;
use std::net::TcpStream;
use std::time::Duration;
use tokio::time::sleep;

/// The time over which the processor time is measured.
const MEASURED: Duration = Duration::from_secs(1);

/// The maximum processor time in it, in ticks of 10 ms; waiting takes next to none.
const MAX_TICKS: u64 = 20;

/// Without a descriptor for a probe's connection the control thread accepted again and again, without
/// a pause.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_without_descriptors_does_not_spin() {
    let store = Store::start().await.unwrap();
    store.put("config", "main", configuration(1, &["a0".to_owned()], "ledger"));
    let ports = FleetPorts::reserve();
    let mut process = Process::new(Zone(0), &ports, store.address(), "descriptors");
    process.start();
    while !process.log().contains("daemon: started") {
        assert_eq!(process.exit_status(), None);
        sleep(Duration::from_millis(20)).await;
    }
    process.exhaust_descriptors();
    let _probe = TcpStream::connect(process.addresses()[1]).unwrap();
    let before = process.processor_ticks();
    sleep(MEASURED).await;
    let used = process.processor_ticks() - before;
    assert!(used <= MAX_TICKS, "{used} ticks:\n{}", process.log());
}
