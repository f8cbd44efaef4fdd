use super::*;

#[test]
fn zipf_draws_follow_the_formula() {
    for power in [0.6, 0.9, 1.0, 1.3] {
        let (count, draws) = (1000, 400_000);
        let zipf = Zipf::new(count, power);
        let mut rng = crate::random_stream(3, 0, 0);
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
    let mut rng = crate::random_stream(3, 0, 1);
    assert_eq!(Zipf::new(1, 0.9).draw(&mut rng), 0);
}
