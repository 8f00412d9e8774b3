// The names, limits and places of all figures and words of a scenario: one table for the file's reader, the
// sweeps and the checks.
#ifndef UMBERDYKE_EMULATOR_FIELDS_H_
#define UMBERDYKE_EMULATOR_FIELDS_H_

#include <string>
#include <vector>

#include "emulator/scenario.h"

namespace umberdyke::emulator {

template <typename T>
struct Figure {
  const char* name;
  double T::*at;
  double least, most;
  bool whole = false;
};

template <typename T>
struct Word {
  const char* name;
  std::string T::*at;
  std::vector<std::string> of;  // empty: any
};

template <typename T>
const std::vector<Figure<T>>& Figures();
template <typename T>
const std::vector<Word<T>>& Words();

template <>
const std::vector<Figure<Scenario>>& Figures<Scenario>();
template <>
const std::vector<Figure<ClassSpec>>& Figures<ClassSpec>();
template <>
const std::vector<Figure<TenantSpec>>& Figures<TenantSpec>();
template <>
const std::vector<Figure<TierSpec>>& Figures<TierSpec>();
template <>
const std::vector<Figure<Trouble>>& Figures<Trouble>();
template <>
const std::vector<Word<Scenario>>& Words<Scenario>();
template <>
const std::vector<Word<ClassSpec>>& Words<ClassSpec>();
template <>
const std::vector<Word<TenantSpec>>& Words<TenantSpec>();
template <>
const std::vector<Word<TierSpec>>& Words<TierSpec>();
template <>
const std::vector<Word<Trouble>>& Words<Trouble>();

// An empty text, or what is wrong with this value.
template <typename T>
std::string CheckFigure(const Figure<T>& figure, double value);

}  // namespace umberdyke::emulator

#endif  // UMBERDYKE_EMULATOR_FIELDS_H_
