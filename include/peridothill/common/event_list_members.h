/* Events 5000 to 5999: membership and peer links. */
PH_EVENT(5000, MEMBER_JOINED, INFO, "member joined")
PH_EVENT(5001, MEMBER_SUSPECTED, WARNING, "member suspected")
PH_EVENT(5002, MEMBER_REFUTED, INFO, "member refuted the suspicion")
PH_EVENT(5003, MEMBER_DIED, WARNING, "member dead")
PH_EVENT(5004, MEMBER_RETURNED, INFO, "member returned")
PH_EVENT(5005, MEMBER_LEFT, INFO, "member left")
PH_EVENT(5006, MEMBER_SELF_REFUTED, WARNING,
         "refuted a suspicion of this instance")
PH_EVENT(5007, MEMBER_ID_CONFLICT, ERROR,
         "another instance uses the id of this instance")
PH_EVENT(5008, MEMBERS_FULL, ERROR, "member refused: member table is full")
PH_EVENT(5009, MEMBERS_SYNC_ASKED, DEBUG, "requested all member records")
PH_EVENT(5010, PROCESS_PAUSED, WARNING, "process was paused")
PH_EVENT(5011, OWN_DATA_CENTRE_LOST, WARNING,
         "no messages from own data centre")
PH_EVENT(5012, OWN_DATA_CENTRE_HEARD, INFO,
         "messages from own data centre resumed")
PH_EVENT(5013, OTHER_DATA_CENTRES_LOST, WARNING,
         "no messages from other data centres")
PH_EVENT(5014, OTHER_DATA_CENTRES_HEARD, INFO,
         "messages from other data centres resumed")
PH_EVENT(5015, PLATFORM_LOST, WARNING, "no answers from the platform")
PH_EVENT(5016, PLATFORM_HEARD, INFO, "platform answers again")
PH_EVENT(5017, MEMBER_MESSAGE_REFUSED, WARNING,
         "malformed member message dropped")
PH_EVENT(5050, PEERS_LISTENING, INFO, "listening for peers")
PH_EVENT(5051, PEER_LINK_READY, DEBUG, "peer link ready")
PH_EVENT(5052, PEER_LINK_REFUSED, WARNING, "peer link refused")
PH_EVENT(5053, PEER_LINK_SILENT, WARNING, "peer link timed out; replacing it")
PH_EVENT(5054, PEER_LINK_CLOSED, DEBUG, "peer link closed")
