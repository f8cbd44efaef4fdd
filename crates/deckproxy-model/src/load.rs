//! What clients ask for.

use crate::scenario::Load;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Numbers from 0 with the probability of the n-th in proportion to 1 / (n + 1)^power, drawn in constant time however
/// many there are (rejection-inversion; Hörmann and Derflinger, 1996).
#[derive(Clone, Copy, Debug)]
pub struct Zipf {
    count: f64,
    power: f64,
    /// The integral's value at the left and right end.
    left: f64,
    right: f64,
    s: f64,
}

fn integral(x: f64, power: f64) -> f64 {
    // (x^(1-p) - 1) / (1-p), and its limit ln x at p = 1.
    let log = x.ln();
    let t = log * (1.0 - power);
    log * if t.abs() < 1e-8 { 1.0 + t / 2.0 } else { t.exp_m1() / t }
}

fn inverse(x: f64, power: f64) -> f64 {
    let t = (x * (1.0 - power)).max(-1.0 + 1e-15);
    (x * if t.abs() < 1e-8 { 1.0 - t / 2.0 } else { t.ln_1p() / t }).exp()
}

impl Zipf {
    /// So many numbers, one at least.
    pub fn new(count: usize, power: f64) -> Self {
        let count = count.max(1) as f64;
        let left = integral(1.5, power) - 1.0;
        let right = integral(count + 0.5, power);
        let s = 2.0 - inverse(integral(2.5, power) - 2f64.powf(-power), power);
        Zipf { count, power, left, right, s }
    }

    /// The next number.
    pub fn draw(&self, rng: &mut Pcg64Mcg) -> usize {
        loop {
            let u = self.right + rng.random::<f64>() * (self.left - self.right);
            let x = inverse(u, self.power);
            let k = (x + 0.5).floor().clamp(1.0, self.count);
            if k - x <= self.s || u >= integral(k + 0.5, self.power) - k.powf(-self.power) {
                return k as usize - 1;
            }
        }
    }
}

/// A class of requests; by its place in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A page: safe.
    Page,
    /// A write under a key.
    Post,
    /// A write that must not come twice.
    Once,
}

impl Class {
    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Class::Page => "page",
            Class::Post => "post",
            Class::Once => "once",
        }
    }
}

/// What one client wants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wish {
    pub class: Class,
    pub object: u64,
    /// KB.
    pub size: f64,
}

/// An object's number: spread out, the site in the first digit.
pub fn object(site: usize, n: u64) -> u64 {
    (site as u64) << 60 | (n + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 4
}

/// KB of an object, by its number: most are small, some large.
pub fn size(object: u64) -> f64 {
    match object % 61 {
        0 => 180.0,
        1..5 => 60.0,
        n => 0.6 + 0.09 * n as f64,
    }
}

/// Draws wishes of one site's clients.
#[derive(Clone, Debug)]
pub struct Wishes {
    site: usize,
    zipf: Zipf,
    objects: u64,
    drift: f64,
    writes: f64,
}

impl Wishes {
    /// As the load says.
    pub fn new(site: usize, load: &Load) -> Self {
        let zipf = Zipf::new(load.objects, load.zipf);
        Wishes { site, zipf, objects: load.objects as u64, drift: load.drift, writes: load.writes }
    }

    /// The next one, at a time in seconds; `one`: the probability that it is for the one object of a flash crowd.
    pub fn draw(&self, rng: &mut Pcg64Mcg, seconds: f64, one: f64) -> Wish {
        let moved = (seconds * self.drift) as u64;
        let rank = self.zipf.draw(rng) as u64;
        let rank = if one > 0.0 && rng.random::<f64>() < one { 7 } else { rank };
        let object = object(self.site, (rank + moved) % self.objects);
        let class = match rng.random::<f64>() {
            x if x < self.writes * 0.5 => Class::Post,
            x if x < self.writes => Class::Once,
            _ => Class::Page,
        };
        Wish { class, object, size: size(object) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn zipf_draws_what_its_formula_says() {
        for power in [0.6, 0.9, 1.0, 1.3] {
            let (count, draws) = (1000, 400_000);
            let zipf = Zipf::new(count, power);
            let mut rng = crate::stream(3, 0, 0);
            let mut seen = vec![0u32; count];
            (0..draws).for_each(|_| seen[zipf.draw(&mut rng)] += 1);
            let weight = |n: usize| ((n + 1) as f64).powf(-power);
            let all: f64 = (0..count).map(weight).sum();
            for n in [0, 1, 2, 9, 99] {
                let want = weight(n) / all * f64::from(draws);
                let got = f64::from(seen[n]);
                assert!((got - want).abs() < 5.0 * want.sqrt() + 1.0, "power {power}, {n}: {got} for {want}");
            }
        }
        let mut rng = crate::stream(3, 0, 1);
        assert_eq!(Zipf::new(1, 0.9).draw(&mut rng), 0);
    }
}
