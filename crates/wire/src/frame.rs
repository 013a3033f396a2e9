use dogwoodlb_timeline::Stamp;
use dogwoodlb_types::id;
use serde::{Deserialize, Serialize};

/// The most membership updates in one frame.
///
/// An update takes at most 76 bytes and the rest of a frame at most 180, so a frame with
/// names of full length still fits into a datagram.
pub const MAX_UPDATES: usize = 12;

/// A message between two nodes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Frame {
    /// Asks a node whether it is alive.
    Ping(Header),
    /// Answers a ping, or reports to the sender of a ping request that the target answered.
    Ack(Header),
    /// Asks a node to ping another one.
    PingReq {
        /// The sender and what it reports.
        header: Header,
        /// The VM to ping.
        target: id::Vm,
    },
    /// Proposes a manifest before its commit.
    Propose(Proposal),
    /// Answers a proposal.
    Answer(Answer),
}

impl Frame {
    /// Returns the header of a datagram frame.
    pub const fn header(&self) -> Option<&Header> {
        match self {
            Self::Ping(header) | Self::Ack(header) | Self::PingReq { header, .. } => Some(header),
            Self::Propose(_) | Self::Answer(_) => None,
        }
    }
}

/// What every datagram frame carries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Header {
    /// The VM that sent the frame.
    pub vm: id::Vm,
    /// The run of its process.
    pub incarnation: id::Incarnation,
    /// Pairs an answer with its ping.
    pub sequence: u32,
    /// What the sender knows about the manifest.
    pub status: Status,
    /// News about members, at most [`MAX_UPDATES`].
    pub updates: Vec<Update>,
}

/// The sender's clock and what it knows about the manifest; see docs/design.md, section 4.5.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Status {
    /// The stamp of the sender's hybrid logical clock.
    pub stamp: Stamp,
    /// The revision of the manifest that the sender holds.
    pub revision: id::Revision,
    /// Whether the sender knows a proposal whose outcome it doesn't know yet.
    pub pending: bool,
    /// Whether the sender has read the table recently enough to act on its own.
    pub fresh: bool,
}

/// What one node says about a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Update {
    /// The member.
    pub vm: id::Vm,
    /// Its state.
    pub state: State,
    /// The run of the member's process that the statement is about.
    pub incarnation: id::Incarnation,
}

/// The state of a member.
///
/// Of two statements about the same incarnation, the one with the higher state prevails.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum State {
    /// The member answers.
    Alive,
    /// The member did not answer a probe and has not refuted the suspicion yet.
    Suspect,
    /// The member is shutting down.
    Leaving,
    /// The member has left, or did not refute a suspicion in time.
    Dead,
}

/// A manifest that a node is about to commit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proposal {
    /// The revision that the manifest will have.
    pub revision: id::Revision,
    /// The version of the pointer row that the commit is conditional on.
    pub row_version: u64,
    /// The id of the commit.
    pub operation: id::Operation,
    /// The text of the manifest.
    pub text: String,
}

/// The answer to a [`Proposal`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The revision that was proposed.
    pub revision: id::Revision,
    /// Why the proposal was refused; `None` if it was accepted.
    pub refused: Option<Reason>,
}

/// Why a node refuses a [`Proposal`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Reason {
    /// The node holds another revision than the one that the proposal follows.
    Conflict,
    /// The manifest is not valid.
    Invalid,
    /// The node is shutting down.
    Leaving,
    /// The node knows another proposal whose outcome is open.
    Pending,
    /// The node has not read the table since it started.
    Unread,
}
