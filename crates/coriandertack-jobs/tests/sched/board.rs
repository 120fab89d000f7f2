//! What one VM has read, and which VM should lead.

use std::sync::Arc;

use coriandertack_jobs::{
    board::{Board, Link, Note},
    moment::Moment,
};

fn board(vms: &[(&str, u32)]) -> Board {
    let mut board = Board::default();
    for (name, millicores) in vms {
        let link = Link { address: "127.0.0.1:1".parse().unwrap(), millicores: *millicores };
        board.apply(Note::Announced(Arc::from(*name), link), Moment(1));
    }
    board
}

/// Guards against a lead that stays with a VM too small for it, and against one that moves for a small difference or to a VM
/// that cannot be reached.
#[test]
fn only_a_far_larger_vm_that_can_be_reached_takes_over() {
    let board = board(&[("small", 120), ("like", 150), ("large", 500), ("far", 1_000)]);
    let names = |names: &[&str]| names.iter().map(|name| Arc::from(*name)).collect::<Vec<_>>();
    let near = names(&["small", "like", "large"]);
    assert_eq!(board.larger("small", &near).map(|name| &**name), Some("large"));
    assert_eq!(board.larger("small", &names(&["small", "like"])), None);
    assert_eq!(board.larger("large", &near), None);
}
