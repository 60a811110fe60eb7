//! Sets or clears the `drain` flag of replicas in a document and keeps the rest of its text.

use std::net::SocketAddr;
use toml_edit::{ArrayOfTables, DocumentMut, Item, TableLike, value};

/// Sets or clears the `drain` flag of all replicas at an address and returns the new text.
///
/// Returns `None` if the text is not TOML or lists no replica at the address.
pub fn set_drain(text: &str, address: SocketAddr, drain: bool) -> Option<String> {
    let mut document: DocumentMut = text.parse().ok()?;
    let mut matched = false;
    for shard in tables(document.as_table_mut(), "shard") {
        for replica in tables(shard, "replica") {
            let listed: Option<SocketAddr> =
                replica.get("address").and_then(Item::as_str).and_then(|text| text.parse().ok());
            if listed != Some(address) {
                continue;
            }
            matched = true;
            if drain {
                replica.insert("drain", value(true));
            } else {
                replica.remove("drain");
            }
        }
    }
    matched.then(|| document.to_string())
}

/// Iterates over an array of tables, written as `[[key]]` sections or as inline tables.
fn tables<'a>(
    table: &'a mut dyn TableLike,
    key: &str,
) -> Box<dyn Iterator<Item = &'a mut dyn TableLike> + 'a> {
    match table.get_mut(key) {
        Some(Item::ArrayOfTables(tables)) => {
            Box::new(ArrayOfTables::iter_mut(tables).map(|table| table as &mut dyn TableLike))
        }
        Some(Item::Value(toml_edit::Value::Array(values))) => Box::new(
            values
                .iter_mut()
                .filter_map(toml_edit::Value::as_inline_table_mut)
                .map(|table| table as &mut dyn TableLike),
        ),
        _ => Box::new(std::iter::empty()),
    }
}

#[cfg(test)]
mod tests;
