//! The encoded form of frames; a change here needs a new protocol version.

use crate::error::Inner;
use crate::{Answer, Error, Frame, Header, Proposal, Report, Result, State, Status, Update, Vote};
use crate::{MAX_PENDING, MAX_UPDATES};
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
    Query(&'a str, u32),
    Report {
        vm: &'a str,
        sequence: u32,
        revision: u64,
        operation: Option<u128>,
        pending: [Option<u128>; MAX_PENDING],
        settled: bool,
    },
    Propose {
        operation: u128,
        operator: &'a str,
        base: u64,
        row_version: u64,
        text: &'a str,
    },
    Answer {
        operation: u128,
        vote: Vote,
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
            Frame::Query { vm, sequence } => Self::Query(vm.as_str(), *sequence),
            Frame::Report(report) => Self::Report {
                vm: report.vm.as_str(),
                sequence: report.sequence,
                revision: report.revision.0,
                operation: report.operation.map(|one| one.0),
                pending: slots(&report.pending)?,
                settled: report.settled,
            },
            Frame::Propose(proposal) => Self::Propose {
                operation: proposal.operation.0,
                operator: proposal.operator.as_str(),
                base: proposal.base.0,
                row_version: proposal.row_version,
                text: &proposal.text,
            },
            Frame::Answer(answer) => Self::Answer {
                operation: answer.operation.0,
                vote: answer.vote,
            },
        })
    }
}

fn slots(pending: &[id::Operation]) -> Result<[Option<u128>; MAX_PENDING]> {
    let count = pending.len();
    if count > MAX_PENDING {
        let limit = MAX_PENDING;
        return Err(Inner::Updates { count, limit }.into());
    }
    let mut slots = [None; MAX_PENDING];
    for (slot, operation) in slots.iter_mut().zip(pending) {
        *slot = Some(operation.0);
    }
    Ok(slots)
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
            Packet::Query(vm, sequence) => Self::Query {
                vm: vm.parse()?,
                sequence,
            },
            Packet::Report {
                vm,
                sequence,
                revision,
                operation,
                pending,
                settled,
            } => Self::Report(Report {
                vm: vm.parse()?,
                sequence,
                revision: id::Revision(revision),
                operation: operation.map(id::Operation),
                pending: pending.into_iter().flatten().map(id::Operation).collect(),
                settled,
            }),
            Packet::Propose {
                operation,
                operator,
                base,
                row_version,
                text,
            } => Self::Propose(Proposal {
                operation: id::Operation(operation),
                operator: operator.parse()?,
                base: id::Revision(base),
                row_version,
                text: text.to_owned(),
            }),
            Packet::Answer { operation, vote } => Self::Answer(Answer {
                operation: id::Operation(operation),
                vote,
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
