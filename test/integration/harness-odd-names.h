// Names of objects that another writer may put into a store.

#ifndef GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_ODD_NAMES_H_
#define GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_ODD_NAMES_H_

#include <string>
#include <vector>

namespace gooseberrylift::test {

// Each means something else in the target of a request, is invalid there or in
// a header field, or is no ID of an endpoint for another reason.
inline const std::vector<std::string> kOddNames = {
  "a b",       "%",         "%b",      "%zz",         std::string(3'000, 'z'),
  "%7Ab",      "%00",       "%ff",     "&b",          "&watch=1b",
  "&after=zz", "#b",        "+b",      "a+b",         "?b",
  "a/b",       ";b",        "=b",      ",b",          ":b",
  "\"b",       "\\b",       "<b>",     "{b}",         "a\tb",
  "a\r\nb",    "a\nX-A: b", "\x01",    "a\x7f",       std::string("a\0b", 3),
  "\u00e4",    "a\u2028b",  "a\ufffd", "\U0001f600b", std::string(3'000, '&'),
  " b"
};

} // namespace gooseberrylift::test

#endif // GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_ODD_NAMES_H_
