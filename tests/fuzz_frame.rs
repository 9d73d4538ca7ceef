//! Property tests of the encoding of frames between daemons.

use eelgrassvalve::error::{Code, Error};
use eelgrassvalve::mesh::call::{Call, Renewal, Workers};
use eelgrassvalve::mesh::frame::{Frame, Greeting, Hello, Notice, Proof, decode, encode};
use eelgrassvalve::placement::order::{Action, Order};
use eelgrassvalve::replica::member::Id;
use eelgrassvalve::state::claim::{Answer, Key, Outcome, Owner, Settlement};
use eelgrassvalve::state::{self, Command};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;

prop_compose! {
    fn order()(
        job in ".{0,20}", part: u32, epoch: u64, accelerators: u32, payload in ".{0,40}",
        checkpoint in proptest::option::of(".{0,9}"), grace_ms: u64, action_kind in 0..3usize,
    ) -> Order {
        let action = match action_kind {
            0 => Action::Prepare { accelerators, payload, checkpoint },
            1 => Action::Start,
            _ => Action::Stop { grace_ms },
        };
        Order { job, part, epoch, action }
    }
}

prop_compose! {
    fn settlement()(
        key: u128, entry in ".{0,20}", incarnation: u64, attempt: u64, status: u16,
        body in proptest::option::of(vec(any::<u8>(), 0..300)),
        content_type in proptest::option::of(".{0,20}"),
    ) -> Settlement {
        let outcome = Outcome::Ran(Answer { status, content_type, body });
        Settlement { key: Key(key), owner: Owner { entry, incarnation }, attempt, outcome }
    }
}

fn frame() -> impl Strategy<Value = Frame> {
    prop_oneof![
        (any::<u64>(), any::<u64>(), any::<u64>(), vec(".{0,20}", 0..5)).prop_map(
            |(number, incarnation, version, workers)| Frame::Call {
                number,
                call: Call::Renew(Renewal {
                    incarnation,
                    version,
                    workers: Workers::Names(workers)
                }),
            }
        ),
        (any::<u64>(), settlement()).prop_map(|(number, settlement)| Frame::Call {
            number,
            call: Call::Propose(Command::Settle(settlement)),
        }),
        (any::<u64>(), ".{0,50}").prop_map(|(number, text)| Frame::Answer {
            number,
            answer: Err(Error::may_have_run(Code::NoQuorum, text)),
        }),
        (".{0,20}", vec(order(), 0..5), any::<u64>()).prop_map(|(worker, orders, term)| {
            Frame::Notice(Notice::Orders { worker, orders, term })
        }),
    ]
}

fn check_decoding(bytes: &[u8]) -> Result<(), TestCaseError> {
    if let Err(malformed) = decode::<Frame>(bytes) {
        prop_assert!(malformed.detail.len() < 1_000 + bytes.len());
    }
    let _ = decode::<Greeting>(bytes);
    let _ = decode::<Proof>(bytes);
    let _ = decode::<state::Record>(bytes);
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(5), ..<_>::default() })]

    #[test]
    fn frames_round_trip(frame in frame()) {
        let bytes = encode(&frame);
        prop_assert_eq!(decode::<Frame>(&bytes).expect("the frame decodes"), frame);
        // A truncated frame and trailing bytes are both errors.
        prop_assert!(decode::<Frame>(&bytes[..bytes.len() - 1]).is_err());
        let twice = [bytes.as_slice(), &bytes].concat();
        prop_assert!(decode::<Frame>(&twice).is_err());
    }

    #[test]
    fn greetings_round_trip(
        name in ".{0,70}", zone in ".{0,70}", id: u64, incarnation: u64, nonce: u128,
        version: u32, is_entry: bool, is_control: bool, mac in vec(any::<u8>(), 0..80),
    ) {
        let id = Id(id);
        let hello = Hello { version, name, zone, id, incarnation, is_entry, is_control };
        let greeting = Greeting { hello, nonce };
        prop_assert_eq!(
            decode::<Greeting>(&encode(&greeting)).expect("the greeting decodes"),
            greeting
        );
        let proof = Proof { mac };
        prop_assert_eq!(decode::<Proof>(&encode(&proof)).expect("the proof decodes"), proof);
    }

    #[test]
    fn arbitrary_bytes_decode_or_give_an_error(bytes in vec(any::<u8>(), 0..300)) {
        check_decoding(&bytes)?;
    }

    #[test]
    fn mutated_frames_decode_or_give_an_error(
        frame in frame(), changes in vec((any::<Index>(), any::<u8>()), 1..6),
    ) {
        let mut bytes = encode(&frame);
        for (position, byte) in changes {
            let position = position.index(bytes.len());
            bytes[position] = byte;
        }
        check_decoding(&bytes)?;
    }

    // A CBOR head that announces more data than follows must not make the decoder reserve memory
    // for it.
    #[test]
    fn announced_lengths_are_not_preallocated(
        major in 2..6u8, length: u64, depth in 0..5_000usize,
    ) {
        let mut bytes = vec![(major << 5) | 27];
        bytes.extend_from_slice(&length.to_be_bytes());
        check_decoding(&bytes)?;
        check_decoding(&[vec![0x81; depth], bytes].concat())?;
    }
}
