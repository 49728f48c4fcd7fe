//! Access keys: text forms, hashes and verification.

use crate::support;
use dahliawood_config::keys;
use proptest::prelude::*;

fn random_key() -> impl Strategy<Value = keys::NewKey> {
    (any::<[u8; 6]>(), any::<[u8; 32]>(), any::<[u8; 16]>())
        .prop_map(|(id, secret, salt)| keys::generate(&keys::KeyEntropy { id, secret, salt }))
}

fn index_of(new_keys: &[keys::NewKey]) -> keys::KeyIndex {
    let mut config = support::config(support::LIANGUANG);
    for (customer, new_key) in config.customers.keys().zip(new_keys) {
        config.customers[customer].keys = vec![new_key.hash.clone()];
    }
    keys::KeyIndex::build(&config)
}

#[test]
fn text_forms_parse_to_the_same_key_and_hash() {
    let run = support::runner(256).run(&random_key(), |new_key| {
        let parsed = new_key.plaintext.reveal().parse::<keys::PlaintextKey>();
        prop_assert_eq!(parsed.as_ref(), Ok(&new_key.plaintext));
        let text = keys::format_hash(&new_key.hash);
        prop_assert!(!text.contains(&hex::encode(new_key.plaintext.secret)));
        prop_assert_eq!(keys::parse_hash(&text), Ok(new_key.hash));
        Ok(())
    });
    run.unwrap();
}

#[test]
fn each_key_verifies_only_as_its_own_customer() {
    let new_keys = proptest::collection::vec(random_key(), 8);
    let run = support::runner(64).run(&new_keys, |new_keys| {
        let index = index_of(&new_keys);
        for (position, new_key) in new_keys.iter().enumerate() {
            let customer = index.verify(&new_key.plaintext.reveal());
            prop_assert_eq!(customer.map(|key| key.0 as usize), Some(position));
        }
        Ok(())
    });
    run.unwrap();
}

#[test]
fn a_changed_key_never_verifies() {
    let cases = (random_key(), random_key(), 0..32_usize, 1..=255_u8);
    let run = support::runner(256).run(&cases, |(new_key, other, byte, change)| {
        let index = index_of(std::slice::from_ref(&new_key));
        let mut changed = new_key.plaintext.clone();
        changed.secret[byte] ^= change;
        let swapped = keys::PlaintextKey {
            id: other.plaintext.id.clone(),
            secret: new_key.plaintext.secret,
        };
        let hash_as_key = keys::PlaintextKey {
            id: new_key.plaintext.id.clone(),
            secret: new_key.hash.digest,
        };
        for wrong in [&changed, &swapped, &hash_as_key, &other.plaintext] {
            prop_assert_eq!(index.verify(&wrong.reveal()), None);
        }
        let revealed = new_key.plaintext.reveal();
        let texts = [
            revealed.to_ascii_uppercase(),
            format!(" {revealed}"),
            format!("{revealed}0"),
            revealed[..revealed.len() - 1].to_owned(),
            keys::format_hash(&new_key.hash),
            String::new(),
        ];
        for text in texts {
            prop_assert_eq!(index.verify(&text), None);
        }
        Ok(())
    });
    run.unwrap();
}

#[test]
fn the_dummy_hash_for_unknown_ids_matches_no_key() {
    let index = index_of(&[]);
    let unknown = keys::PlaintextKey {
        id: "unknown".to_owned(),
        secret: [0; keys::SECRET_BYTES],
    };
    assert_eq!(index.verify(&unknown.reveal()), None);
}

#[test]
fn debug_output_contains_no_secret() {
    let new_key = keys::generate(&keys::KeyEntropy {
        id: [1; 6],
        secret: [0xab; 32],
        salt: [0xcd; 16],
    });
    let shown = format!("{new_key:?}");
    let id = &new_key.plaintext.id;
    assert!(shown.contains(id.as_str()));
    let rest = shown.replace(id.as_str(), "");
    for hidden in [0xab_u8, 0xcd, new_key.hash.digest[0]] {
        assert!(
            !rest.contains(&format!("{hidden:02x}{hidden:02x}")),
            "{shown}"
        );
        assert!(!rest.contains(&hidden.to_string()), "{shown}");
    }
}
