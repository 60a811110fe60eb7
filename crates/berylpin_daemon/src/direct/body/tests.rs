use super::*;

/// The memory of a body was available again as soon as the body had been read.
#[test]
fn a_body_holds_its_memory_until_its_last_reference_is_dropped() {
    let budget = MemoryBudget::new(10);
    let mut memory = budget.reserve();
    assert!(memory.try_extend(8));
    let body = memory.hold(Bytes::from_static(b"12345678"));
    let part = body.slice(2..4);
    drop(body);
    assert!(!budget.reserve().try_extend(3));
    drop(part);
    assert!(budget.reserve().try_extend(10));
}

#[test]
fn an_empty_body_holds_no_memory() {
    let budget = MemoryBudget::new(10);
    let mut memory = budget.reserve();
    assert!(memory.try_extend(8));
    let _body = memory.hold(Bytes::new());
    assert!(budget.reserve().try_extend(10));
}
