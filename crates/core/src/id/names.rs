//! Names from settings, documents and the instance list.

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
            /// Returns the name as a string slice.
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
    /// Name of a node, unique within the fleet. The replacement of its instance reuses the name.
    NodeName
}

name! {
    /// Name of a service, which is also the first path segment of its calls.
    ServiceName
}

name! {
    /// Name of a failure domain.
    DomainName
}

name! {
    /// Name of a region, which contains failure domains.
    RegionName
}
