use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn table_behaves_like_a_map(ops in proptest::collection::vec((0u8..12, any::<bool>(), any::<u16>()), 0..200)) {
        let mut table = Table::<JobIx, u16>::default();
        let mut model = HashMap::new();
        for (name, insert, value) in ops {
            let name = name.to_string();
            if insert {
                table.insert(&name, value);
                model.insert(name, value);
            } else {
                prop_assert_eq!(table.remove(&name), model.remove(&name));
            }
            prop_assert_eq!(table.len(), model.len());
            for (name, value) in &model {
                let ix = table.find(name).expect("listed");
                prop_assert_eq!(table.get(ix), Some(value));
            }
            prop_assert_eq!(table.iter().count(), model.len());
        }
    }
}
