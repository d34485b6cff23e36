//! How long questions to peers may take.

use std::time::Duration;

use flaxtide_entry::question_times;

// Guards against a panic that ended the thread that follows the server list: the time left was read
// twice, and had become less than what had been taken from it.
#[test]
fn a_question_takes_no_longer_than_what_is_left() {
    let ms = Duration::from_millis;
    let cases = [
        // Wait, margin and what is left; what of the first two is used.
        (750, 450, 5000, 750, 450),
        (750, 450, 1200, 750, 450),
        (750, 450, 1199, 750, 449),
        (750, 450, 751, 750, 1),
        (750, 450, 750, 750, 0),
        (750, 450, 749, 749, 0),
        (750, 450, 0, 0, 0),
        (0, 450, 300, 0, 300),
    ];
    for (wait, margin, left, used_wait, used_margin) in cases {
        let times = question_times(ms(wait), ms(margin), ms(left));
        assert_eq!(times, (ms(used_wait), ms(used_margin)), "{wait}, {margin}, {left}");
    }
}
