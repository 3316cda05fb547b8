//! Evaluation of the published rules.

use larkwick::kernel::config::{ConfigState, Versioned};
use larkwick::kernel::object::{ClientAccount, Object};
use larkwick::kernel::rules::Catalog;

fn account(name: &str, bearer_key: &str) -> Object {
    Object::ClientAccount(ClientAccount {
        name: name.to_owned(),
        labels: larkwick::kernel::label::Labels::default(),
        key_blake3: blake3::hash(bearer_key.as_bytes()).to_hex().to_string(),
        share: 1,
    })
}

fn state(objects: [Object; 2]) -> ConfigState {
    let mut state = ConfigState::default();
    for (revision, object) in (1..).zip(objects) {
        state
            .objects
            .insert(object.key(), Versioned { revision, object });
    }
    state
}

/// Guards against an account that is published with the key of another one and thereby gets the
/// requests of its callers.
#[test]
fn account_for_key_published_for_two_accounts_earlier_one_keeps_it() {
    for (earlier, later) in [("a", "z"), ("z", "a")] {
        let state = state([account(earlier, "key"), account(later, "key")]);
        let catalog = Catalog::new(&state);
        let found = catalog.account_for_key("key").expect("an account");
        assert_eq!(found.name, earlier);
    }
}
