//! Revisions of the platform's rows.
//!
//! The platform numbers its changes. When it is restored from an older copy, it starts a new era: the
//! numbers go back, and some are given out again. A revision of a later era is newer than all
//! revisions of earlier eras, whatever its number.
//!
//! Rows, reports and snapshots contain revisions as one number ([`Revision::pack`]) with the same
//! order. On a platform that was never restored, that is the number of the change itself.

use std::fmt;

/// Number of bits of a packed revision that contain the number of the change.
const NUMBER_BITS: u32 = 44;

/// Revision of a row; revisions are ordered by their eras first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision {
    /// Number of restores of the platform before the change.
    pub era: u64,
    /// Number of the change within the era.
    pub number: u64,
}

impl Revision {
    /// The revision as one number in the same order; none if a part of it is too large, which is
    /// more than 2^20 eras or 2^44 changes.
    #[must_use]
    pub fn pack(self) -> Option<u64> {
        let fits = self.era < 1 << (u64::BITS - NUMBER_BITS) && self.number < 1 << NUMBER_BITS;
        fits.then_some(self.era << NUMBER_BITS | self.number)
    }

    /// The revision of a packed number.
    #[must_use]
    pub const fn unpack(packed: u64) -> Self {
        Self { era: packed >> NUMBER_BITS, number: packed & ((1 << NUMBER_BITS) - 1) }
    }
}

impl fmt::Display for Revision {
    /// `number`, or `era:number` after a restore.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => write!(formatter, "{}", self.number),
            era => write!(formatter, "{era}:{}", self.number),
        }
    }
}
