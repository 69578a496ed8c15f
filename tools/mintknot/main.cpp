// mintknot: the operators' command line.
#include <mintknot/cli/verbs.hpp>

int main(int argc, char** argv) {
    return mintknot::cli::run(argc, argv, MINTKNOT_VERSION);
}
