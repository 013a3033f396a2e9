use crate::error::Inner;
use crate::membership::{Action, Membership};
use crate::peer_record::MAX_INCARNATION;
use crate::Result;
use dogwoodlb_types::{id, Instant};
use dogwoodlb_wire::{Frame, Header, State, Status, Update, MAX_UPDATES};
use rand::seq::IteratorRandom;
use rand::Rng;

/// Maximum number of random known states added to a frame that has room. They repair losses,
/// because gossip sends each update only a bounded number of times.
const ANTI_ENTROPY_UPDATES: usize = 4;

impl Membership {
    /// Processes a received datagram frame and returns the responses to send.
    ///
    /// Responses go to the sender's address in the manifest rather than to the source address of
    /// the datagram, which may be forged.
    ///
    /// # Errors
    ///
    /// Fails if the sender is not a peer, its incarnation is out of range, or the frame is not a
    /// membership frame. The state is then unchanged, and the driver should count the frame.
    pub fn on_frame(
        &mut self,
        frame: &Frame,
        now: Instant,
        status: &Status,
        rng: &mut dyn Rng,
    ) -> Result<Vec<Action>> {
        let header = frame.header().ok_or(Inner::UnexpectedFrame)?;
        self.check_sender(header)?;
        self.detect_stall(now);
        let mut actions = Vec::new();
        if self.state == State::Dead {
            return Ok(actions);
        }
        self.merge_header(header, now, &mut actions);
        match frame {
            Frame::Ping(_) => {
                self.send(
                    Frame::Ack,
                    &header.vm,
                    header.sequence,
                    status,
                    rng,
                    &mut actions,
                );
            }
            Frame::Ack(_) => self.on_ack(header, status, rng, &mut actions),
            Frame::PingReq { target, .. } => {
                if self.peers.contains_key(target) {
                    let relay = self.add_relay(target, &header.vm, header.sequence, now);
                    if let Some(sequence) = relay {
                        self.send(Frame::Ping, target, sequence, status, rng, &mut actions);
                    }
                }
            }
            _ => return Err(Inner::UnexpectedFrame.into()),
        }
        Ok(actions)
    }

    /// Checks that the sender is a peer with a valid incarnation.
    fn check_sender(&self, header: &Header) -> Result<()> {
        let vm = header.vm.clone();
        if !self.peers.contains_key(&vm) {
            return Err(Inner::UnknownSender { vm }.into());
        }
        let incarnation = header.incarnation;
        if incarnation.0 == 0 || incarnation > MAX_INCARNATION {
            return Err(Inner::InvalidIncarnation { vm, incarnation }.into());
        }
        Ok(())
    }

    /// Merges the updates of a frame, after the one that its sender is alive.
    fn merge_header(&mut self, header: &Header, now: Instant, actions: &mut Vec<Action>) {
        let sender = Update {
            vm: header.vm.clone(),
            state: State::Alive,
            incarnation: header.incarnation,
        };
        self.merge(&sender, now, actions);
        for update in &header.updates {
            self.merge(update, now, actions);
        }
    }

    fn on_ack(
        &mut self,
        header: &Header,
        status: &Status,
        rng: &mut dyn Rng,
        actions: &mut Vec<Action>,
    ) {
        let is_acknowledged = |probe: &crate::probe::Probe| {
            probe.sequence == header.sequence
                && (probe.target == header.vm || probe.intermediaries.contains(&header.vm))
        };
        if self.probe.as_ref().is_some_and(is_acknowledged) {
            self.probe = None;
            self.local_health = self.local_health.saturating_sub(1);
        }
        let relay = self
            .relays
            .iter()
            .position(|relay| relay.sequence == header.sequence && relay.target == header.vm);
        if let Some(index) = relay {
            let relay = self.relays.swap_remove(index);
            let sequence = relay.requester_sequence;
            self.send(Frame::Ack, &relay.requester, sequence, status, rng, actions);
        }
    }

    /// Queues a ping or an acknowledgement for a peer, if its address is known.
    pub(crate) fn send(
        &mut self,
        frame: fn(Header) -> Frame,
        vm: &id::Vm,
        sequence: u32,
        status: &Status,
        rng: &mut dyn Rng,
        actions: &mut Vec<Action>,
    ) {
        if let Some(to) = self.address(vm) {
            let frame = frame(self.header(vm, sequence, status, rng));
            actions.push(Action::Send { to, frame });
        }
    }

    pub(crate) fn header(
        &mut self,
        to: &id::Vm,
        sequence: u32,
        status: &Status,
        rng: &mut dyn Rng,
    ) -> Header {
        Header {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            sequence,
            status: *status,
            updates: self.updates(to, rng),
        }
    }

    /// Selects the updates to send to a peer: first its own state, so that it can refute it, then
    /// gossip, then random known states.
    fn updates(&mut self, to: &id::Vm, rng: &mut dyn Rng) -> Vec<Update> {
        let mut updates = Vec::new();
        if let Some(record) = self.peers.get(to) {
            if record.state != State::Alive && !record.is_unknown() {
                updates.push(self.update_about(to));
            }
        }
        if self.state != State::Alive {
            updates.push(self.own_update());
        }
        let room = MAX_UPDATES - updates.len();
        updates.extend(self.gossip.take(room, self.peers.len() + 1));
        let room = ANTI_ENTROPY_UPDATES.min(MAX_UPDATES - updates.len());
        let known = self.peers.iter().filter(|(vm, record)| {
            !record.is_unknown() && !updates.iter().any(|update| update.vm == **vm)
        });
        let anti_entropy: Vec<id::Vm> = known.map(|(vm, _)| vm.clone()).sample(rng, room);
        updates.extend(anti_entropy.iter().map(|vm| self.update_about(vm)));
        updates
    }

    fn update_about(&self, vm: &id::Vm) -> Update {
        let (state, incarnation) = match self.peers.get(vm) {
            Some(record) => (record.state, record.incarnation),
            // Not reached: callers pass only peers.
            None => (State::Dead, id::Incarnation(0)),
        };
        Update {
            vm: vm.clone(),
            state,
            incarnation,
        }
    }
}
