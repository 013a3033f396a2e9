use dogwoodlb_types::id;

/// The identity and location of the node that runs a router.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The node's VM; its name seeds the subset selection.
    pub vm: id::Vm,
    /// The node's region.
    pub region: id::Region,
    /// The node's data centre.
    pub centre: id::Centre,
}

impl Settings {
    pub(crate) fn locality(&self, replica: &Replica) -> Locality {
        if replica.region != self.region {
            Locality::Remote
        } else if replica.centre != self.centre {
            Locality::Region
        } else {
            Locality::Centre
        }
    }
}

/// A replica as listed in the manifest.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Replica {
    /// The replica's name.
    pub upstream: id::Upstream,
    /// The replica's region.
    pub region: id::Region,
    /// The replica's data centre.
    pub centre: id::Centre,
    /// The number of requests that it can process concurrently, across all nodes.
    pub slots: u32,
    /// Whether the replica is leaving and receives no new requests.
    pub leaving: bool,
}

/// The location of a replica relative to the node, nearest first.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Locality {
    /// The replica is in the node's data centre.
    Centre,
    /// The replica is in another data centre of the node's region.
    Region,
    /// The replica is in another region.
    Remote,
}

impl Locality {
    /// All localities, nearest first.
    pub const ALL: [Self; 3] = [Self::Centre, Self::Region, Self::Remote];
}
