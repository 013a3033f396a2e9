//! The encoded form of frames; a change here needs a new protocol version.

use crate::error::Inner;
use crate::MAX_UPDATES;
use crate::{Answer, Error, Frame, Header, Proposal, Reason, Result, State, Status, Update};
use dogwoodlb_timeline::Stamp;
use dogwoodlb_types::id;
use serde::de::{Error as _, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};
use std::fmt;

#[derive(Deserialize, Serialize)]
pub(crate) enum Packet<'a> {
    #[serde(borrow)]
    Ping(Head<'a>),
    Ack(Head<'a>),
    PingReq(Head<'a>, &'a str),
    Propose {
        revision: u64,
        row_version: u64,
        operation: u128,
        text: &'a str,
    },
    Answer {
        revision: u64,
        refused: Option<Reason>,
    },
}

#[derive(Deserialize, Serialize)]
pub(crate) struct Head<'a> {
    vm: &'a str,
    incarnation: u64,
    sequence: u32,
    millis: i64,
    logical: u32,
    revision: u64,
    pending: bool,
    fresh: bool,
    #[serde(borrow, deserialize_with = "bounded")]
    updates: Vec<Item<'a>>,
}

#[derive(Deserialize, Serialize)]
pub(crate) struct Item<'a> {
    vm: &'a str,
    state: State,
    incarnation: u64,
}

/// Reads at most [`MAX_UPDATES`] items, whatever count the frame claims.
fn bounded<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> std::result::Result<Vec<Item<'de>>, D::Error> {
    struct Items;

    impl<'de> Visitor<'de> for Items {
        type Value = Vec<Item<'de>>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            write!(f, "at most {MAX_UPDATES} updates")
        }

        fn visit_seq<A: SeqAccess<'de>>(
            self,
            mut seq: A,
        ) -> std::result::Result<Self::Value, A::Error> {
            let mut items = Vec::new();
            while let Some(item) = seq.next_element()? {
                if items.len() == MAX_UPDATES {
                    return Err(A::Error::invalid_length(MAX_UPDATES + 1, &self));
                }
                items.push(item);
            }
            Ok(items)
        }
    }

    deserializer.deserialize_seq(Items)
}

impl<'a> TryFrom<&'a Frame> for Packet<'a> {
    type Error = Error;

    fn try_from(frame: &'a Frame) -> Result<Self> {
        Ok(match frame {
            Frame::Ping(header) => Self::Ping(header.try_into()?),
            Frame::Ack(header) => Self::Ack(header.try_into()?),
            Frame::PingReq { header, target } => Self::PingReq(header.try_into()?, target.as_str()),
            Frame::Propose(proposal) => Self::Propose {
                revision: proposal.revision.0,
                row_version: proposal.row_version,
                operation: proposal.operation.0,
                text: &proposal.text,
            },
            Frame::Answer(answer) => Self::Answer {
                revision: answer.revision.0,
                refused: answer.refused,
            },
        })
    }
}

impl<'a> TryFrom<&'a Header> for Head<'a> {
    type Error = Error;

    fn try_from(header: &'a Header) -> Result<Self> {
        let count = header.updates.len();
        if count > MAX_UPDATES {
            return Err(Inner::Updates {
                count,
                limit: MAX_UPDATES,
            }
            .into());
        }
        Ok(Self {
            vm: header.vm.as_str(),
            incarnation: header.incarnation.0,
            sequence: header.sequence,
            millis: header.status.stamp.millis,
            logical: header.status.stamp.logical,
            revision: header.status.revision.0,
            pending: header.status.pending,
            fresh: header.status.fresh,
            updates: header.updates.iter().map(Item::from).collect(),
        })
    }
}

impl<'a> From<&'a Update> for Item<'a> {
    fn from(update: &'a Update) -> Self {
        Self {
            vm: update.vm.as_str(),
            state: update.state,
            incarnation: update.incarnation.0,
        }
    }
}

impl TryFrom<Packet<'_>> for Frame {
    type Error = Error;

    fn try_from(packet: Packet<'_>) -> Result<Self> {
        Ok(match packet {
            Packet::Ping(head) => Self::Ping(head.try_into()?),
            Packet::Ack(head) => Self::Ack(head.try_into()?),
            Packet::PingReq(head, target) => Self::PingReq {
                header: head.try_into()?,
                target: target.parse()?,
            },
            Packet::Propose {
                revision,
                row_version,
                operation,
                text,
            } => Self::Propose(Proposal {
                revision: id::Revision(revision),
                row_version,
                operation: id::Operation(operation),
                text: text.to_owned(),
            }),
            Packet::Answer { revision, refused } => Self::Answer(Answer {
                revision: id::Revision(revision),
                refused,
            }),
        })
    }
}

impl TryFrom<Head<'_>> for Header {
    type Error = Error;

    fn try_from(head: Head<'_>) -> Result<Self> {
        Ok(Self {
            vm: head.vm.parse()?,
            incarnation: id::Incarnation(head.incarnation),
            sequence: head.sequence,
            status: Status {
                stamp: Stamp {
                    millis: head.millis,
                    logical: head.logical,
                },
                revision: id::Revision(head.revision),
                pending: head.pending,
                fresh: head.fresh,
            },
            updates: head
                .updates
                .into_iter()
                .map(Update::try_from)
                .collect::<Result<_>>()?,
        })
    }
}

impl TryFrom<Item<'_>> for Update {
    type Error = Error;

    fn try_from(item: Item<'_>) -> Result<Self> {
        Ok(Self {
            vm: item.vm.parse()?,
            state: item.state,
            incarnation: id::Incarnation(item.incarnation),
        })
    }
}
