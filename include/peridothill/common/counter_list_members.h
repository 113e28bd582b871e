/* Counters of membership and peer links. */
#define PH_COUNTER_CHANGE(NAME, CHANGE)                                       \
    PH_COUNTER(MEMBERS_##NAME, "peridothill_member_changes_total",            \
               "change=\"" CHANGE "\"", "Changes seen in the membership")
#define PH_COUNTER_FRAME(NAME, REASON)                                        \
    PH_COUNTER(PEER_FRAME_##NAME, "peridothill_peer_frames_refused_total",    \
               "reason=\"" REASON "\"", "Peer links closed over a bad frame")
#define PH_COUNTER_SEND(NAME, REASON)                                         \
    PH_COUNTER(PEER_SEND_##NAME, "peridothill_peer_sends_refused_total",      \
               "reason=\"" REASON "\"", "Payloads for peers not sent")
#define PH_COUNTER_DROP(NAME, REASON)                                         \
    PH_COUNTER(PEER_DROP_##NAME, "peridothill_peer_payloads_dropped_total",   \
               "reason=\"" REASON "\"", "Payloads from peers not delivered")
#define PH_COUNTER_CLOSE(NAME, REASON)                                        \
    PH_COUNTER(PEER_CLOSE_##NAME, "peridothill_peer_links_closed_total",      \
               "reason=\"" REASON "\"", "Peer links closed")
PH_COUNTER_CHANGE(JOINED, "joined")
PH_COUNTER_CHANGE(SUSPECTED, "suspected")
PH_COUNTER_CHANGE(REFUTED, "refuted")
PH_COUNTER_CHANGE(DIED, "died")
PH_COUNTER_CHANGE(RETURNED, "returned")
PH_COUNTER_CHANGE(LEFT, "left")
PH_COUNTER_CHANGE(SELF_REFUTED, "self-refuted")
PH_COUNTER_CHANGE(ID_CONFLICT, "id-conflict")
PH_COUNTER_CHANGE(FULL, "table-full")
PH_COUNTER_CHANGE(OWN_LOST, "own-data-centre-lost")
PH_COUNTER_CHANGE(OWN_RESTORED, "own-data-centre-heard")
PH_COUNTER_CHANGE(OTHERS_LOST, "other-data-centres-lost")
PH_COUNTER_CHANGE(OTHERS_RESTORED, "other-data-centres-heard")
PH_COUNTER_CHANGE(PLATFORM_LOST, "platform-lost")
PH_COUNTER_CHANGE(PLATFORM_RESTORED, "platform-heard")
PH_COUNTER(MEMBERS_SYNCS, "peridothill_member_syncs_total", "",
           "Requests for all member records")
PH_COUNTER(MEMBERS_PAUSES, "peridothill_process_pauses_total", "",
           "Times this process was found to have stood still")
PH_COUNTER(MEMBERS_MALFORMED, "peridothill_member_messages_refused_total",
           "reason=\"malformed\"", "Member messages not understood")
PH_COUNTER(MEMBERS_UNKNOWN, "peridothill_member_messages_refused_total",
           "reason=\"unknown-kind\"", "Member messages not understood")
PH_COUNTER(PEER_BYTES_SENT, "peridothill_peer_bytes_total",
           "direction=\"sent\"", "Bytes over peer links")
PH_COUNTER(PEER_BYTES_RECEIVED, "peridothill_peer_bytes_total",
           "direction=\"received\"", "Bytes over peer links")
PH_COUNTER(PEER_LINKS_DIALLED, "peridothill_peer_links_opened_total",
           "by=\"this\"", "Peer links opened")
PH_COUNTER(PEER_LINKS_ACCEPTED, "peridothill_peer_links_opened_total",
           "by=\"peer\"", "Peer links opened")
PH_COUNTER_FRAME(TOO_LONG, "too-long")
PH_COUNTER_FRAME(MALFORMED, "malformed")
PH_COUNTER_FRAME(VERSION, "version")
PH_COUNTER_FRAME(DEPLOYMENT, "deployment")
PH_COUNTER_FRAME(REPLAYED, "replayed")
PH_COUNTER_FRAME(UNPROVED, "unproved")
PH_COUNTER_SEND(NO_ADDRESS, "no-address")
PH_COUNTER_SEND(TOO_LARGE, "too-large")
PH_COUNTER_SEND(QUEUE_FULL, "queue-full")
PH_COUNTER_SEND(BACK_OFF, "back-off")
PH_COUNTER_SEND(LINKS_FULL, "links-full")
PH_COUNTER_SEND(OTHER_MEMBER, "other-member")
PH_COUNTER_SEND(LINK_CLOSED, "link-closed")
PH_COUNTER_DROP(NO_LISTENER, "no-listener")
PH_COUNTER_DROP(MAILBOX_FULL, "mailbox-full")
PH_COUNTER_DROP(CHANNEL, "unknown-channel")
PH_COUNTER_CLOSE(BY_PEER, "by-peer")
PH_COUNTER_CLOSE(FAILED, "failed")
PH_COUNTER_CLOSE(REFUSED, "refused")
PH_COUNTER_CLOSE(HANDSHAKE, "handshake-timeout")
PH_COUNTER_CLOSE(SILENT, "silent")
PH_COUNTER_CLOSE(IDLE, "idle")
PH_COUNTER_CLOSE(SELF, "self")
PH_COUNTER_CLOSE(LIMIT, "links-full")
#undef PH_COUNTER_CHANGE
#undef PH_COUNTER_FRAME
#undef PH_COUNTER_SEND
#undef PH_COUNTER_DROP
#undef PH_COUNTER_CLOSE
