use dogwoodlb_types::id;

/// The place of the node that holds a router.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The node's VM; it seeds the choice of the subset.
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

/// A replica as the manifest lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Replica {
    /// The name of the replica.
    pub upstream: id::Upstream,
    /// Its region.
    pub region: id::Region,
    /// Its data centre.
    pub centre: id::Centre,
    /// The number of requests of all nodes that it can serve at once.
    pub slots: u32,
    /// Whether it gets no new work.
    pub leaving: bool,
}

/// How far a replica is from the node, nearest first.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Locality {
    /// In the node's data centre.
    Centre,
    /// In another data centre of the node's region.
    Region,
    /// Behind the link between regions.
    Remote,
}

impl Locality {
    /// All localities, nearest first.
    pub const ALL: [Self; 3] = [Self::Centre, Self::Region, Self::Remote];
}
