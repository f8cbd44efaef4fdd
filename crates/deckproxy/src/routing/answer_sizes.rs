//! The size of the answers to expect for a request, learned by class.

/// Weight of one answer in the mean of its class.
const ANSWER_WEIGHT: f64 = 0.1;

/// Mean sizes of the answers of each class; none until a class has had an answer.
#[derive(Debug)]
pub(super) struct AnswerSizes {
    means: Vec<Option<f64>>,
}

impl AnswerSizes {
    /// No sizes yet, of so many classes.
    pub(super) fn new(classes: usize) -> Self {
        AnswerSizes { means: vec![None; classes] }
    }

    /// Learns from an answer of a class with a body of so many bytes.
    pub(super) fn learn(&mut self, class: usize, bytes: usize) {
        if let Some(mean) = self.means.get_mut(class) {
            let size = bytes as f64;
            *mean = Some(mean.map_or(size, |mean| mean + ANSWER_WEIGHT * (size - mean)));
        }
    }

    /// Bytes to expect for a request of a class; 0 if nothing is known.
    pub(super) fn expected(&self, class: usize) -> usize {
        self.means.get(class).copied().flatten().unwrap_or(0.0) as usize
    }
}
