//! Draining a replica by a change of its document that keeps the rest of the text.

use std::net::SocketAddr;
use toml_edit::{ArrayOfTables, DocumentMut, Item, TableLike, value};

/// Sets whether the replicas at an address get new work.
///
/// Returns `None` if the text is no document or names no such replica.
pub fn set_drain(text: &str, address: SocketAddr, drain: bool) -> Option<String> {
    let mut document: DocumentMut = text.parse().ok()?;
    let mut found = false;
    for shard in tables(document.as_table_mut(), "shard") {
        for replica in tables(shard, "replica") {
            let own: Option<SocketAddr> =
                replica.get("address").and_then(Item::as_str).and_then(|text| text.parse().ok());
            if own != Some(address) {
                continue;
            }
            found = true;
            if drain {
                replica.insert("drain", value(true));
            } else {
                replica.remove("drain");
            }
        }
    }
    found.then(|| document.to_string())
}

/// Visits an array of tables, whichever way it is written.
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
