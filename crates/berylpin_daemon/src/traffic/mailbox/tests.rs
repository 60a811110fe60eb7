use super::*;

#[tokio::test]
async fn full_mailbox_discards_sent_messages_but_not_deferred_ones() {
    let (mailbox, mut rx) = Mailbox::new();
    for ticket in 0..MAILBOX_CAPACITY as u64 {
        assert!(mailbox.try_send(Mail::CallerDisconnected(Ticket(ticket))));
    }
    assert!(!mailbox.try_send(Mail::CallerDisconnected(Ticket(u64::MAX))));
    mailbox.send_or_defer(Mail::Stop);
    let mut stopped = false;
    for _ in 0..=MAILBOX_CAPACITY {
        stopped |= matches!(rx.recv().await, Some(Mail::Stop));
    }
    assert!(stopped);
}
