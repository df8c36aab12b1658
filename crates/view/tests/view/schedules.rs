//! Property tests: the invariants hold under random schedules of pauses, losses, restarts,
//! partitions and outages.

use crate::world::{Step, World};
use proptest::prelude::*;

fn step() -> impl Strategy<Value = Step> {
    let node = || any::<u8>();
    prop_oneof![
        6 => (0..3000u16).prop_map(Step::Wait),
        6 => Just(Step::DeliverAll),
        6 => Just(Step::TickAll),
        6 => (node(), node(), 1..8u8).prop_map(|(a, b, n)| Step::Deliver(a, b, n)),
        3 => node().prop_map(Step::Poll),
        3 => (node(), any::<bool>()).prop_map(|(a, lost)| Step::Withdraw(a, lost)),
        3 => (node(), any::<bool>()).prop_map(|(a, lost)| Step::Join(a, lost)),
        2 => (node(), node()).prop_map(|(a, b)| Step::Remove(a, b)),
        1 => node().prop_map(Step::Pause),
        2 => node().prop_map(Step::Resume),
        2 => node().prop_map(Step::Restart),
        1 => (node(), node()).prop_map(|(a, b)| Step::Cut(a, b)),
        2 => any::<u8>().prop_map(Step::Split),
        1 => Just(Step::Heal),
        2 => (node(), any::<bool>()).prop_map(|(a, up)| Step::Platform(a, up)),
        2 => (node(), node()).prop_map(|(a, b)| Step::Terminated(a, b)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(300), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn accepted_revisions_never_revert(count in 2..6usize, steps in prop::collection::vec(step(), 0..160)) {
        let mut world = World::new(count);
        for step in &steps {
            world.step(step);
            let result = world.check();
            prop_assert!(result.is_ok(), "{:?} after {:?}", result, step);
        }
    }
}
