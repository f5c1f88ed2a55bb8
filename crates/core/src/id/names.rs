//! Names taken from settings, documents and the instance list.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub SmolStr);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(SmolStr::new(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name! {
    /// Name of a node, unique in the fleet and reused when its instance is replaced.
    NodeName
}

name! {
    /// Name of a service, which is also the first segment of a call's path.
    ServiceName
}

name! {
    /// Name of a failure domain.
    DomainName
}

name! {
    /// Name of a region, which holds failure domains.
    RegionName
}
