fn main() {
    divan::main();
}
