//! Plug-ins that register themselves by name.

use crate::placement::Policy;

/// A placement policy that can be named in the configuration document.
pub struct Registration {
    /// Name in the document.
    pub name: &'static str,
    /// Builds a fresh policy.
    pub build: fn() -> Box<dyn Policy>,
}

inventory::collect!(Registration);

/// Builds the policy of that name, if one registered.
pub fn build_policy(name: &str) -> Option<Box<dyn Policy>> {
    for registration in inventory::iter::<Registration> {
        if registration.name == name {
            return Some((registration.build)());
        }
    }
    None
}

/// Names of all registered policies, sorted.
pub fn policy_names() -> Vec<&'static str> {
    let mut names: Vec<_> = inventory::iter::<Registration>.into_iter().map(|r| r.name).collect();
    names.sort_unstable();
    names
}
