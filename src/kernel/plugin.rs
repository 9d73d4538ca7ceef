//! Registry of placement policies, which register themselves at link time under a name.

use crate::placement::Policy;

/// A placement policy that the configuration document can select.
pub struct Registration {
    /// Name that selects the policy in the document.
    pub name: &'static str,
    /// Creates the policy in its initial state.
    pub build: fn() -> Box<dyn Policy>,
}

inventory::collect!(Registration);

/// Creates the policy registered under `name`, if there is one.
pub fn build_policy(name: &str) -> Option<Box<dyn Policy>> {
    for registration in inventory::iter::<Registration> {
        if registration.name == name {
            return Some((registration.build)());
        }
    }
    None
}

/// Returns the sorted names of all registered policies.
pub fn policy_names() -> Vec<&'static str> {
    let mut names: Vec<_> =
        inventory::iter::<Registration>.into_iter().map(|registration| registration.name).collect();
    names.sort_unstable();
    names
}
