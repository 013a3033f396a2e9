//! The serialised form of frames. Any change here requires a new protocol version.

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
    Ping(PacketHeader<'a>),
    Ack(PacketHeader<'a>),
    PingReq(PacketHeader<'a>, &'a str),
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
pub(crate) struct PacketHeader<'a> {
    vm: &'a str,
    incarnation: u64,
    sequence: u32,
    millis: i64,
    logical: u32,
    revision: u64,
    #[serde(borrow, deserialize_with = "deserialize_updates")]
    updates: Vec<PacketUpdate<'a>>,
}

#[derive(Deserialize, Serialize)]
pub(crate) struct PacketUpdate<'a> {
    vm: &'a str,
    state: State,
    incarnation: u64,
}

/// Deserialises at most [`MAX_UPDATES`] updates, regardless of the length that the frame declares.
fn deserialize_updates<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> std::result::Result<Vec<PacketUpdate<'de>>, D::Error> {
    struct UpdatesVisitor;

    impl<'de> Visitor<'de> for UpdatesVisitor {
        type Value = Vec<PacketUpdate<'de>>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            write!(f, "at most {MAX_UPDATES} updates")
        }

        fn visit_seq<A: SeqAccess<'de>>(
            self,
            mut seq: A,
        ) -> std::result::Result<Self::Value, A::Error> {
            let mut updates = Vec::new();
            while let Some(update) = seq.next_element()? {
                if updates.len() == MAX_UPDATES {
                    return Err(A::Error::invalid_length(MAX_UPDATES + 1, &self));
                }
                updates.push(update);
            }
            Ok(updates)
        }
    }

    deserializer.deserialize_seq(UpdatesVisitor)
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
                operation: report.operation.map(|operation| operation.0),
                pending: to_array(&report.pending)?,
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

fn to_array(pending: &[id::Operation]) -> Result<[Option<u128>; MAX_PENDING]> {
    let count = pending.len();
    if count > MAX_PENDING {
        let limit = MAX_PENDING;
        return Err(Inner::ListTooLong { count, limit }.into());
    }
    let mut pending_slots = [None; MAX_PENDING];
    for (slot, operation) in pending_slots.iter_mut().zip(pending) {
        *slot = Some(operation.0);
    }
    Ok(pending_slots)
}

impl<'a> TryFrom<&'a Header> for PacketHeader<'a> {
    type Error = Error;

    fn try_from(header: &'a Header) -> Result<Self> {
        let count = header.updates.len();
        if count > MAX_UPDATES {
            return Err(Inner::ListTooLong {
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
            updates: header.updates.iter().map(PacketUpdate::from).collect(),
        })
    }
}

impl<'a> From<&'a Update> for PacketUpdate<'a> {
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
            Packet::Ping(header) => Self::Ping(header.try_into()?),
            Packet::Ack(header) => Self::Ack(header.try_into()?),
            Packet::PingReq(header, target) => Self::PingReq {
                header: header.try_into()?,
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

impl TryFrom<PacketHeader<'_>> for Header {
    type Error = Error;

    fn try_from(header: PacketHeader<'_>) -> Result<Self> {
        Ok(Self {
            vm: header.vm.parse()?,
            incarnation: id::Incarnation(header.incarnation),
            sequence: header.sequence,
            status: Status {
                stamp: Stamp {
                    millis: header.millis,
                    logical: header.logical,
                },
                revision: id::Revision(header.revision),
            },
            updates: header
                .updates
                .into_iter()
                .map(Update::try_from)
                .collect::<Result<_>>()?,
        })
    }
}

impl TryFrom<PacketUpdate<'_>> for Update {
    type Error = Error;

    fn try_from(update: PacketUpdate<'_>) -> Result<Self> {
        Ok(Self {
            vm: update.vm.parse()?,
            state: update.state,
            incarnation: id::Incarnation(update.incarnation),
        })
    }
}
