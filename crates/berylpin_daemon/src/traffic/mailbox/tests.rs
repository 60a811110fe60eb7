use super::*;

#[tokio::test]
async fn a_full_mailbox_loses_messages_but_not_those_that_may_be_late() {
    let (mailbox, mut rx) = Mailbox::new();
    for ticket in 0..MAILBOX_SIZE as u64 {
        assert!(mailbox.try_send(Mail::CallerDisconnected(Ticket(ticket))));
    }
    assert!(!mailbox.try_send(Mail::CallerDisconnected(Ticket(u64::MAX))));
    mailbox.send_or_defer(Mail::Stop);
    let mut stopped = false;
    for _ in 0..=MAILBOX_SIZE {
        stopped |= matches!(rx.recv().await, Some(Mail::Stop));
    }
    assert!(stopped);
}
