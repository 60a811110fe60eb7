use super::*;
use reqwest::Client;

async fn read(platform: &Platform) -> ObjectList {
    let url = format!("http://{}/v1/objects?prefix=a", platform.address());
    Client::new().get(url).send().await.unwrap().json().await.unwrap()
}

async fn put(platform: &Platform, version: u64, value: &'static str) -> u16 {
    let url = format!("http://{}/v1/objects/a", platform.address());
    let request = Client::new().put(url).header("if-match", version).body(value);
    request.send().await.unwrap().status().as_u16()
}

#[tokio::test]
async fn a_change_with_a_lost_answer_is_stored() {
    let platform = Platform::start().await.unwrap();
    platform.store("a", "1");
    platform.set_faults(PlatformFaults { lose_answers: true, ..PlatformFaults::default() });
    assert_eq!(put(&platform, 1, "2").await, 504);
    assert_eq!(put(&platform, 1, "3").await, 412);
    assert_eq!(platform.history("a"), [(1, "1".to_owned()), (2, "2".to_owned())]);
}

#[tokio::test]
async fn stale_reads_return_the_objects_from_before_the_fault() {
    let platform = Platform::start().await.unwrap();
    platform.store("a", "1");
    platform.set_faults(PlatformFaults { stale: true, ..PlatformFaults::default() });
    platform.store("a", "2");
    assert_eq!(read(&platform).await.objects[0].value, "1");
    platform.set_faults(PlatformFaults::default());
    assert_eq!(read(&platform).await.objects[0].value, "2");
}
