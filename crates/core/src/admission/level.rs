//! The admission level: a threshold over classes and buckets.

use serde::{Deserialize, Serialize};

use crate::class::Class;

/// Admission threshold: calls up to this class and bucket are admitted, calls above it are shed.
///
/// A higher level admits more calls. Based on the compound admission level of DAGOR (Zhou et al., "Overload Control for
/// Scaling WeChat Microservices", SoCC 2018), with the class in place of the business priority and the hash of the
/// request id in place of the user priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Level {
    /// The partially admitted class. Higher-priority classes are admitted completely.
    pub class: Class,
    /// The highest admitted bucket of that class.
    pub bucket: u8,
}

impl Level {
    /// Admits every call.
    pub const OPEN: Self = Self {
        class: Class::LOWEST,
        bucket: u8::MAX,
    };

    /// The lowest level. It admits one bucket of the highest class, whose answers show when the overload ends.
    pub const FLOOR: Self = Self {
        class: Class::HIGHEST,
        bucket: 0,
    };

    const BUCKETS: u16 = 1 << u8::BITS;

    /// Returns whether a call of this class and bucket is admitted.
    pub fn admits(self, class: Class, bucket: u8) -> bool {
        let class = class.min(Class::LOWEST);
        (class, bucket) <= (self.class, self.bucket)
    }

    /// Returns the admitted fraction of a class, from 0 to 1.
    pub fn share_of(self, class: Class) -> f64 {
        let class = class.min(Class::LOWEST);
        if class < self.class {
            return 1.0;
        }
        if class > self.class {
            return 0.0;
        }
        (f64::from(self.bucket) + 1.0) / f64::from(Self::BUCKETS)
    }

    /// Returns the number of admitted pairs of class and bucket; 1 for [`Level::FLOOR`].
    pub fn position(self) -> u16 {
        u16::from(self.class.0) * Self::BUCKETS + u16::from(self.bucket) + 1
    }

    /// Returns the level that admits this many pairs of class and bucket, clamped to [`Level::FLOOR`] and
    /// [`Level::OPEN`].
    pub fn from_position(position: u16) -> Self {
        let last = position.clamp(Self::FLOOR.position(), Self::OPEN.position()) - 1;
        let [class, bucket] = last.to_be_bytes();
        Self {
            class: Class(class),
            bucket,
        }
    }
}

impl Default for Level {
    fn default() -> Self {
        Self::OPEN
    }
}
