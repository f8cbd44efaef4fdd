use super::*;

#[test]
fn rules_have_different_prefixes_and_no_faults() {
    let rules = rules(1000);
    let prefixes: HashSet<(u64, u32)> = rules.iter().map(|rule| (rule.prefix, rule.prefix_digits)).collect();
    assert_eq!(prefixes.len(), rules.len());
    assert!(rules.len() > 900, "{}", rules.len());
    assert_eq!(validate(SITE, &["b"], &rules).len(), 0);
}

#[test]
fn index_and_list_find_the_same_routes() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    // `measure` itself compares the two.
    let row = measure(&rules(100), &mut rng);
    assert_eq!((row.len(), row[0].as_str()), (7, "100"));
}
