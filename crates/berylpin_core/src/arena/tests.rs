use super::*;

#[test]
fn removed_key_returns_none_after_its_index_is_reused() {
    let mut slab = Slab::default();
    let old = slab.insert("old");
    assert_eq!(slab.remove(old), Some("old"));
    let new = slab.insert("new");
    assert_eq!(slab.get(old), None);
    assert_eq!(slab.remove(old), None);
    assert_eq!(slab.get(new), Some(&"new"));
    assert_eq!(slab.len(), 1);
}
