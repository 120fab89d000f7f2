//! Teams, the keys by which their callers are known, and their shares and caps.
//!
//! Keys are held as digests only, so that no log line or dump of the configuration can show one. See
//! docs/design/teams.md.
//!
//! ```
//! use coriandertack_jobs::teams::{Team, Teams};
//!
//! let team = Team { name: "bookings".into(), weight: 3.0, ..Team::default() };
//! let teams = Teams::new([(team, vec!["secret"])]);
//! assert_eq!(&*teams.by_key("secret").unwrap().name, "bookings");
//! assert!(teams.by_key("guess").is_none());
//! ```

use std::{collections::HashMap, fmt, sync::Arc};

use {
    coriandertack_core::resources::Resources,
    sha2::{Digest, Sha256},
    subtle::ConstantTimeEq,
};

/// A team, which shares the workers with others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Team {
    /// Unique name.
    pub name: Arc<str>,
    /// Share of the workers relative to other teams while there is not enough room for all.
    pub weight: f64,
    /// What the team may have running over all workers. A part that is 0 has no limit.
    pub cap: Resources,
}

/// Digest of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct KeyDigest([u8; 32]);

impl KeyDigest {
    fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// The teams of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Teams {
    teams: Vec<Team>,
    /// Index of the team that holds a key.
    keys: HashMap<KeyDigest, usize>,
}

impl Teams {
    /// Creates the table from teams and their keys. A key that two teams hold belongs to the first.
    pub fn new<K: AsRef<str>>(entries: impl IntoIterator<Item = (Team, Vec<K>)>) -> Self {
        let mut table = Self::default();
        for (team, keys) in entries {
            let index = table.teams.len();
            for key in keys {
                table.keys.entry(KeyDigest::of(key.as_ref())).or_insert(index);
            }
            table.teams.push(team);
        }
        table
    }

    /// Returns the team that holds a key.
    ///
    /// The digest hides the key from the time that the lookup takes; the entry found is compared in
    /// constant time as well.
    #[must_use]
    pub fn by_key(&self, key: &str) -> Option<&Team> {
        let digest = KeyDigest::of(key);
        let (held, &index) = self.keys.get_key_value(&digest)?;
        bool::from(held.0.ct_eq(&digest.0)).then(|| &self.teams[index])
    }

    /// Returns the team of a name.
    #[must_use]
    pub fn named(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| &*team.name == name)
    }

    /// Returns all teams, in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &Team> {
        self.teams.iter()
    }

    /// Returns the number of keys of all teams.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }
}
