//! Section `node`: identity of the node.

use coltsfootport_core::id::{DomainName, NodeName, RegionName, ServiceName};
use coltsfootport_core::jsonc::{Item, Section};

/// Identity and location of the node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeSettings {
    /// Name of the node, unique in the fleet.
    pub name: NodeName,
    /// Service of the node's target.
    pub service: ServiceName,
    /// Failure domain of the instance.
    pub domain: DomainName,
    /// Region of the failure domain.
    pub region: RegionName,
}

impl NodeSettings {
    pub(super) fn read(mut section: Section<'_, '_>) -> Option<Self> {
        let name = section
            .required("name")
            .and_then(Item::name)
            .map(NodeName::from);
        let service = section
            .required("service")
            .and_then(Item::name)
            .map(ServiceName::from);
        let domain = section
            .required("domain")
            .and_then(Item::name)
            .map(DomainName::from);
        let region = section
            .required("region")
            .and_then(Item::name)
            .map(RegionName::from);
        section.finish();
        Some(Self {
            name: name?,
            service: service?,
            domain: domain?,
            region: region?,
        })
    }
}
