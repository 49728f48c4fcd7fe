//! Smooth weighted round robin: a split among several parts by weight.

/// Assigns each request to the part with the largest deficit: its due share minus what it got.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoundRobin {
    weights: Vec<f64>,
    deficit: Vec<f64>,
}

impl RoundRobin {
    /// Index of the part that gets the next request; a change of weights resets all deficits.
    pub fn next(&mut self, weights: impl Iterator<Item = f64>) -> usize {
        let weights: Vec<f64> = weights.collect();
        if weights != self.weights {
            self.deficit = vec![0.0; weights.len()];
            self.weights = weights;
        }
        let total: f64 = self.weights.iter().sum();
        for (deficit, weight) in self.deficit.iter_mut().zip(&self.weights) {
            *deficit += weight;
        }
        let ranked = self.deficit.iter().enumerate();
        let largest = ranked.max_by(|a, b| a.1.total_cmp(b.1).then(b.0.cmp(&a.0)));
        let chosen = largest.map_or(0, |(index, _)| index);
        if let Some(deficit) = self.deficit.get_mut(chosen) {
            *deficit -= total;
        }
        chosen
    }
}
