//! A split among several parts by weight, smooth over any run of requests.

/// Divides requests among parts: each request goes to the part that is furthest behind its weight.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoundRobin {
    weights: Vec<f64>,
    behind: Vec<f64>,
}

impl RoundRobin {
    /// The part of the next request; other weights than last time start anew.
    pub fn next(&mut self, weights: impl Iterator<Item = f64>) -> usize {
        let weights: Vec<f64> = weights.collect();
        if weights != self.weights {
            self.behind = vec![0.0; weights.len()];
            self.weights = weights;
        }
        let total: f64 = self.weights.iter().sum();
        for (behind, weight) in self.behind.iter_mut().zip(&self.weights) {
            *behind += weight;
        }
        let ranked = self.behind.iter().enumerate();
        let most = ranked.max_by(|a, b| a.1.total_cmp(b.1).then(b.0.cmp(&a.0)));
        let chosen = most.map_or(0, |(index, _)| index);
        if let Some(behind) = self.behind.get_mut(chosen) {
            *behind -= total;
        }
        chosen
    }
}
