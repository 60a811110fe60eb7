//! `berylpin execute`: sends one non-idempotent request through the caller API.

use super::query::parse_rank;
use crate::args::{Command, CommandError, reject_remaining};
use crate::caller_client::CallerClient;
use crate::client::{block_on, print_json};
use berylpin_wire::execute::{ExecuteBody, ExecutedBody, KeyList, KeysBody};
use pico_args::Arguments;
use std::net::SocketAddr;

pub(crate) const COMMAND: Command = Command {
    name: "execute",
    summary: "send one non-idempotent request",
    help: "\
Usage: berylpin execute SERVICE REQUEST --to ADDRESS [OPTIONS]

  SERVICE          the name of a service
  REQUEST          the request body that is sent to one replica at a time
  --to ADDRESS     caller address of a daemon
  --key KEY        resend under the key of an earlier request; a new key if absent
  --shard NAME     required if the service has several shards
  --rank RANK      urgent, standard or background; standard if absent
  --deadline-ms N  the deadline in milliseconds; the target latency of the rank if absent
  --json           print the answer as JSON

The key is printed before the request is sent: a resend with it never runs the request twice.

Example: berylpin execute receipt-vault 'charge account-17 12' --to 127.0.0.1:7000
",
    run,
};

fn run(mut args: Arguments) -> Result<(), CommandError> {
    let json = args.contains("--json");
    let to: SocketAddr = args.value_from_str("--to")?;
    let key: Option<String> = args.opt_value_from_str("--key")?;
    let shard = args.opt_value_from_str("--shard")?;
    let rank = parse_rank(args.opt_value_from_str("--rank")?)?;
    let deadline_ms = args.opt_value_from_str("--deadline-ms")?;
    let service = args.free_from_str()?;
    let request = args.free_from_str()?;
    reject_remaining(args)?;
    block_on(async {
        let caller = CallerClient::new(to, json);
        let key = match key {
            Some(key) => key,
            None => new_key(&caller).await?,
        };
        eprintln!("key {key}");
        let body = ExecuteBody { key, service, shard, rank, deadline_ms, request };
        let executed: ExecutedBody = caller.post("/v1/execute", &body).await?;
        if json {
            print_json(&executed);
        } else {
            println!("{}", executed.result);
        }
        Ok(())
    })
}

/// Requests an idempotency key from the daemon.
async fn new_key(caller: &CallerClient) -> Result<String, CommandError> {
    let list: KeyList = caller.post("/v1/keys", &KeysBody { count: 1 }).await?;
    let key = list.keys.into_iter().next();
    key.ok_or_else(|| CommandError::Failed("the daemon issued no key".to_owned()))
}
